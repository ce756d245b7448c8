//! The scheduler's random number generators.

/// Two independent generators, so that the search for a node does not change the numbers drawn for other
/// decisions.
#[derive(Clone, Debug)]
pub(super) struct RandomSources {
    /// Generator for all decisions except the choice between nodes.
    pub(super) decisions: fastrand::Rng,
    /// Generator for the choice between nodes of similar load.
    pub(super) node_choice: fastrand::Rng,
}

impl RandomSources {
    pub(super) fn new(seed: u64) -> Self {
        Self { decisions: fastrand::Rng::with_seed(seed), node_choice: fastrand::Rng::with_seed(!seed) }
    }
}
