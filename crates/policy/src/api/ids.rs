//! Identifiers used in requests, endpoint lists and settings.

/// An instant or a duration in microseconds, on the clock of the caller of [`crate::Scheduler::handle`].
pub type Micros = u64;

/// A client's request as this scheduler received it. A client's retry is a request of its own; ids are never
/// reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A storage node; the id stays the same when its process restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId(pub u32);

/// A volume; plans, rate limits and admission sessions apply to each volume separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VolumeId(pub u64);

/// A data item that a request reads or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyId(pub u64);

/// The part of the data that one node holds. A shard moves to another node when its node is replaced.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShardId(pub u32);

/// Index of a request class in [`crate::Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub u16);

/// Index of a plan in [`crate::Settings::plans`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlanId(pub u16);

/// Converts a duration to seconds.
pub(crate) fn seconds(duration: Micros) -> f64 {
    duration as f64 / 1e6
}
