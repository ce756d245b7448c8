//! The scheduler's random numbers.

/// Two independent sequences, so that the search for a node takes no numbers from the other decisions.
#[derive(Clone, Debug)]
pub(super) struct RandomSources {
    /// For all decisions but the choice between nodes.
    pub(super) decisions: fastrand::Rng,
    /// For the choice between nodes of similar load.
    pub(super) node_choice: fastrand::Rng,
}

impl RandomSources {
    pub(super) fn new(seed: u64) -> Self {
        Self { decisions: fastrand::Rng::with_seed(seed), node_choice: fastrand::Rng::with_seed(!seed) }
    }
}
