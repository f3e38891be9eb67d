//! Faults of the connections between daemons, and partitioned zones.

use super::super::fault::LinkFault;
use super::Injector;
use crate::proxy::Faults;

const DELAY_MS: u64 = 300;
/// Number of consecutive connections to reset in each direction.
const RESET_CONNECTIONS: u32 = 4;

impl Injector {
    pub(super) fn start_link_fault(&self, first: usize, second: usize, fault: LinkFault) {
        let faults = match fault {
            LinkFault::Cut => refusing_faults(),
            LinkFault::OneWay => return self.drop_one_way(first, second),
            LinkFault::Delayed => Faults {
                delay_ms: DELAY_MS,
                ..Faults::default()
            },
            LinkFault::Reset => return self.reset(first, second),
            LinkFault::Frozen => Faults {
                freeze: true,
                ..Faults::default()
            },
        };
        self.cluster.set_link_faults(first, second, faults);
    }

    pub(super) fn end_link_fault(&self, first: usize, second: usize) {
        let healed = Faults::default();
        self.cluster.set_link_faults(first, second, healed);
    }

    /// Drops the bytes from one daemon to the other, whichever of them opened the connection.
    fn drop_one_way(&self, from: usize, to: usize) {
        let opened = Faults {
            swallow_to_target: true,
            ..Faults::default()
        };
        let accepted = Faults {
            swallow_from_target: true,
            ..Faults::default()
        };
        for (opener, target, faults) in [(from, to, opened), (to, from, accepted)] {
            let target = self.cluster.daemons[target].name();
            if let Some(link) = self.cluster.daemons[opener].links.get(target) {
                link.set(faults);
            }
        }
    }

    fn reset(&self, first: usize, second: usize) {
        for (opener, target) in [(first, second), (second, first)] {
            let target = self.cluster.daemons[target].name();
            if let Some(link) = self.cluster.daemons[opener].links.get(target) {
                link.cut();
                link.reset_next(RESET_CONNECTIONS);
            }
        }
    }

    pub(super) fn isolate_zone(&self, zone: usize) {
        self.set_zone_faults(zone, refusing_faults());
    }

    pub(super) fn reconnect_zone(&self, zone: usize) {
        self.set_zone_faults(zone, Faults::default());
    }

    fn set_zone_faults(&self, zone: usize, faults: Faults) {
        let zones = super::super::zones_of(&self.config);
        let is_inside = |daemon: &usize| zones[*daemon] == zone;
        let (inside, outside): (Vec<usize>, Vec<usize>) = (0..zones.len()).partition(is_inside);
        for first in inside {
            for second in &outside {
                self.cluster.set_link_faults(first, *second, faults);
            }
            let daemon = &self.cluster.daemons[first];
            daemon.set_platform_faults(faults);
            if faults.refuse {
                daemon.key_value.cut();
                daemon.machine_list.cut();
                daemon.scorer.cut();
            }
        }
    }
}

fn refusing_faults() -> Faults {
    Faults {
        refuse: true,
        ..Faults::default()
    }
}
