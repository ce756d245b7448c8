//! Assigns the numbers by which the policy identifies zones. A zone keeps its number while a known node is
//! in it.

use std::collections::HashMap;

/// The zones of all known nodes; there are never more entries than nodes.
#[derive(Debug, Default)]
pub(super) struct Zones {
    by_name: HashMap<Box<str>, Zone>,
    next_number: u32,
}

#[derive(Debug)]
struct Zone {
    number: u32,
    node_count: usize,
}

impl Zones {
    /// Adds a node to the zone with that name, and returns the number of the zone.
    pub(super) fn add_node(&mut self, name: &str) -> u32 {
        if let Some(zone) = self.by_name.get_mut(name) {
            zone.node_count += 1;
            return zone.number;
        }
        let number = self.next_number;
        self.next_number += 1;
        self.by_name.insert(name.into(), Zone { number, node_count: 1 });
        number
    }

    /// Removes a node from the zone with that name; without nodes the zone is forgotten.
    pub(super) fn remove_node(&mut self, name: &str) {
        let Some(zone) = self.by_name.get_mut(name) else { return };
        zone.node_count -= 1;
        if zone.node_count == 0 {
            self.by_name.remove(name);
        }
    }

    /// Returns the number of known zones.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.by_name.len()
    }
}
