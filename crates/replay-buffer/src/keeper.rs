//! Books what is kept, and decides on each body as it grows.

use std::cmp::Ordering;
use std::collections::BTreeMap;

/// Bodies that are booked at a time at most; of more nothing is kept.
pub const BODIES: usize = 65_536;

/// A body: that of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BodyId(pub u64);

/// Where a body is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Place {
    /// In memory.
    Memory,
    /// In a file.
    File,
    /// Not at all, or no longer: its request ends with its first attempt.
    Nowhere,
}

/// Why a body is kept no better.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Its class may not be tried again.
    NotRepeatable,
    /// No time is left for another attempt.
    NoTime,
    /// It is larger than any single body may be.
    TooLarge,
    /// All that may be kept is.
    AllFull,
    /// All that may be kept of its plan is.
    PlanFull,
    /// All that may be kept of its class is.
    ClassFull,
    /// All that may be kept of its volume is.
    VolumeFull,
    /// The disk takes nothing.
    Disk,
    /// It made way for one that is worth more.
    Displaced,
    /// More bodies come than are booked.
    TooMany,
}

impl Reason {
    /// Whether two bodies draw on the budget that is full.
    fn is_shared(self, one: &Ask, other: &Ask) -> bool {
        match self {
            Self::AllFull => true,
            Self::PlanFull => one.plan == other.plan,
            Self::ClassFull => one.class == other.class,
            Self::VolumeFull => one.volume == other.volume,
            _ => false,
        }
    }
}

/// Bytes in memory and in files.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Budget {
    /// In memory.
    pub memory: u64,
    /// In files.
    pub files: u64,
}

impl Budget {
    fn of(self, place: Place) -> u64 {
        match place {
            Place::Memory => self.memory,
            Place::File => self.files,
            Place::Nowhere => 0,
        }
    }
}

/// How much is kept. A plan or class that has no budget of its own goes by all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Limits {
    /// Of one body.
    pub each: Budget,
    /// Of all.
    pub all: Budget,
    /// Of one volume.
    pub volume: Budget,
    /// Of each plan, by place.
    pub plans: Vec<Budget>,
    /// Of each class, by place.
    pub classes: Vec<Budget>,
    /// A request with less time left than that is not tried again, microseconds.
    pub least_time: u64,
}

/// How the disk does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Disk {
    /// It takes what comes.
    #[default]
    Sound,
    /// It is full, read-only, stuck or absent: nothing new goes there.
    Unfit,
}

/// What is known of a body as it begins.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ask {
    /// Place of its plan.
    pub plan: u16,
    /// Place of its class.
    pub class: u16,
    /// Its volume.
    pub volume: u64,
    /// Its length, where it is told.
    pub declared: Option<u64>,
    /// Worth of the request.
    pub worth: f64,
    /// It lies within its plan's reserve.
    pub in_reserve: bool,
    /// Its class may be tried again.
    pub repeatable: bool,
    /// Until the request's deadline, microseconds.
    pub time_left: u64,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// Where the body is from now on; one that was elsewhere moves there whole.
    pub place: Place,
    /// Why it is kept no better, where it is not in memory.
    pub reason: Option<Reason>,
    /// Others that move: down to a file, or away.
    pub moved: Vec<(BodyId, Place)>,
}

#[derive(Clone, Copy, Debug)]
struct Body {
    ask: Ask,
    place: Place,
    size: u64,
    /// Its attempt is out and could be repeated by rule.
    protected: bool,
}

impl Body {
    /// Whether it may make way for `other`: strictly less dear, and nothing within a reserve for what is
    /// outside any.
    fn yields_to(&self, other: &Ask) -> bool {
        !self.protected && rank(&self.ask, other) == Ordering::Less
    }
}

fn rank(a: &Ask, b: &Ask) -> Ordering {
    a.in_reserve.cmp(&b.in_reserve).then(a.worth.total_cmp(&b.worth))
}

/// Whose budget it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Owner {
    All,
    Plan(u16),
    Class(u16),
    Volume(u64),
}

/// Books bodies and decides on them.
#[derive(Debug, Default)]
pub struct Keeper {
    limits: Limits,
    disk: Disk,
    bodies: BTreeMap<BodyId, Body>,
    /// Bytes that are kept, for each that has any.
    sums: BTreeMap<(Place, Owner), u64>,
}

impl Keeper {
    /// One that keeps so much.
    pub fn new(limits: Limits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// The disk does otherwise from now on. What lies there stays until reading it fails.
    pub fn disk(&mut self, disk: Disk) {
        self.disk = disk;
    }

    /// A body begins to come. One that can't be kept whole anyway is not begun.
    pub fn begin(&mut self, id: BodyId, ask: Ask) -> Decision {
        let least = ask.declared.unwrap_or(0);
        let reason = match () {
            () if !ask.repeatable => Some(Reason::NotRepeatable),
            () if ask.time_left < self.limits.least_time => Some(Reason::NoTime),
            () if least > self.limits.each.memory.max(self.limits.each.files) => Some(Reason::TooLarge),
            () if self.bodies.len() >= BODIES => Some(Reason::TooMany),
            () => None,
        };
        if reason.is_some() {
            return Decision { place: Place::Nowhere, reason, moved: Vec::new() };
        }
        self.book(id, Some(Body { ask, place: Place::Memory, size: 0, protected: false }));
        self.grow(id, 0)
    }

    /// So many more bytes of a body are to be kept. Of one that is not booked nothing is.
    pub fn grow(&mut self, id: BodyId, bytes: u64) -> Decision {
        let Some(body) = self.bodies.get(&id).copied() else {
            return Decision { place: Place::Nowhere, reason: None, moved: Vec::new() };
        };
        let size = body.size.saturating_add(bytes);
        // What will not fit memory goes to a file at once, and what is there stays there.
        let whole = size.max(body.ask.declared.unwrap_or(0));
        let mut reason = None;
        for place in [Place::Memory, Place::File] {
            if place < body.place {
                continue;
            }
            match self.make_room(id, place, size, whole) {
                Ok(moved) => {
                    self.book(id, Some(Body { place, size, ..body }));
                    return Decision { place, reason, moved };
                }
                Err(why) => reason = Some(why),
            }
        }
        self.book(id, None);
        Decision { place: Place::Nowhere, reason, moved: Vec::new() }
    }

    /// Whether a body's attempt is out and could be repeated by rule: meanwhile it does not make way.
    pub fn protect(&mut self, id: BodyId, protected: bool) {
        if let Some(body) = self.bodies.get_mut(&id) {
            body.protected = protected;
        }
    }

    /// Where a body is kept.
    pub fn place(&self, id: BodyId) -> Place {
        self.bodies.get(&id).map_or(Place::Nowhere, |body| body.place)
    }

    /// A body is needed no more, or was lost.
    pub fn end(&mut self, id: BodyId) {
        self.book(id, None);
    }

    /// Books a body so from now on, or no longer, and keeps the sums.
    fn book(&mut self, id: BodyId, body: Option<Body>) {
        let before = match body {
            Some(body) => self.bodies.insert(id, body),
            None => self.bodies.remove(&id),
        };
        for was in before.iter().filter(|was| was.size > 0) {
            for owner in owners(&was.ask) {
                let sum = self.sums.entry((was.place, owner)).or_default();
                *sum -= was.size;
                if *sum == 0 {
                    self.sums.remove(&(was.place, owner));
                }
            }
        }
        for is in body.iter().filter(|is| is.size > 0) {
            owners(&is.ask)
                .into_iter()
                .for_each(|owner| *self.sums.entry((is.place, owner)).or_default() += is.size);
        }
    }

    fn sum(&self, place: Place, owner: Owner) -> u64 {
        self.sums.get(&(place, owner)).copied().unwrap_or(0)
    }

    /// Bytes that are kept.
    pub fn used(&self) -> Budget {
        Budget { memory: self.sum(Place::Memory, Owner::All), files: self.sum(Place::File, Owner::All) }
    }

    /// Sees to it that a body of that size fits a place; who makes way for it moves. Nobody moves if it does
    /// not fit all the same.
    fn make_room(
        &mut self,
        id: BodyId,
        place: Place,
        size: u64,
        whole: u64,
    ) -> Result<Vec<(BodyId, Place)>, Reason> {
        if place == Place::File && self.disk == Disk::Unfit {
            return Err(Reason::Disk);
        }
        if whole > self.limits.each.of(place) {
            return Err(Reason::TooLarge);
        }
        let Some(body) = self.bodies.get(&id).copied() else { return Err(Reason::TooMany) };
        let mut leaving: Vec<BodyId> = Vec::new();
        while let Err(reason) = self.fits(&body.ask, place, size, id, &leaving) {
            let candidates = self.bodies.iter().filter(|(other, candidate)| {
                **other != id
                    && candidate.place == place
                    && candidate.size > 0
                    && !leaving.contains(other)
                    && reason.is_shared(&body.ask, &candidate.ask)
                    && candidate.yields_to(&body.ask)
            });
            // The least dear first; of alike ones the latest, which has cost the least so far.
            let least = candidates.min_by(|(a, x), (b, y)| rank(&x.ask, &y.ask).then(b.cmp(a)));
            leaving.push(*least.ok_or(reason)?.0);
        }
        Ok(leaving.into_iter().map(|other| (other, self.move_down(other, place))).collect())
    }

    /// Moves a body from memory to a file if it fits there without more ado, else away.
    fn move_down(&mut self, id: BodyId, from: Place) -> Place {
        let Some(body) = self.bodies.get(&id).copied() else { return Place::Nowhere };
        let file = from == Place::Memory
            && self.disk == Disk::Sound
            && body.size.max(body.ask.declared.unwrap_or(0)) <= self.limits.each.files
            && self.fits(&body.ask, Place::File, body.size, id, &[]).is_ok();
        if file {
            self.book(id, Some(Body { place: Place::File, ..body }));
            return Place::File;
        }
        self.book(id, None);
        Place::Nowhere
    }

    /// Whether a body of that size fits all budgets of a place, without what it has there itself and
    /// without those that leave; else the budget that it exceeds.
    fn fits(
        &self,
        ask: &Ask,
        place: Place,
        size: u64,
        own: BodyId,
        leaving: &[BodyId],
    ) -> Result<(), Reason> {
        let without: Vec<&Body> = leaving
            .iter()
            .chain([&own])
            .filter_map(|id| self.bodies.get(id))
            .filter(|b| b.place == place)
            .collect();
        let of =
            |budgets: &[Budget], at: u16| budgets.get(usize::from(at)).unwrap_or(&self.limits.all).of(place);
        let budgets = [
            (Owner::Volume(ask.volume), self.limits.volume.of(place), Reason::VolumeFull),
            (Owner::Class(ask.class), of(&self.limits.classes, ask.class), Reason::ClassFull),
            (Owner::Plan(ask.plan), of(&self.limits.plans, ask.plan), Reason::PlanFull),
            (Owner::All, self.limits.all.of(place), Reason::AllFull),
        ];
        for (owner, most, reason) in budgets {
            let gone = without.iter().filter(|body| owners(&body.ask).contains(&owner));
            let gone: u64 = gone.map(|body| body.size).sum();
            if self.sum(place, owner) - gone + size > most {
                return Err(reason);
            }
        }
        Ok(())
    }
}

/// Whose budgets a body draws on.
fn owners(ask: &Ask) -> [Owner; 4] {
    [Owner::All, Owner::Plan(ask.plan), Owner::Class(ask.class), Owner::Volume(ask.volume)]
}

#[cfg(test)]
mod tests;
