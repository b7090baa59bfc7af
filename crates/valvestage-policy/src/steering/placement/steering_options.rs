//! Limits and weights of steering.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use valvestage_core::ids::{RegionName, ZoneName};

use super::cold_shares::ColdLimit;
use crate::steering::knowledge::entry_times::EntryTimes;

/// `SteeringOptions` are the limits and weights of steering.
#[derive(Debug, Clone)]
pub struct SteeringOptions {
    /// Availability zone of this VM.
    pub zone: ZoneName,
    /// Availability zones of other regions.
    pub far_zones: BTreeSet<ZoneName>,
    /// The region of each availability zone, as far as it is known.
    pub zone_regions: BTreeMap<ZoneName, RegionName>,
    /// What all balancers together may ask of a cold backend server whose service has a rate for it; none: no such limit.
    pub cold_limit: Option<ColdLimit>,
    /// How soon entries of backend servers lapse and are written again.
    pub entry_times: EntryTimes,
    /// Flows remembered at most. A record has some 100 bytes; the size to design for has 6,200 flows
    /// a balancer.
    pub max_flows: usize,
    /// Load of an open flow that has no request under way, in requests. A long flow sends about one
    /// request a second, which takes some 40 ms.
    pub resting_flow_load: f64,
    /// How much busier, in requests a slot, the servers of this zone may be before a flow is placed
    /// in another zone. From the trials that docs/DECISIONS.md lists.
    pub zone_preference: f64,
    /// How much busier the servers of all zones of this region may be before a flow is placed in another
    /// region: there each packet of a request takes tens of milliseconds more. docs/DECISIONS.md.
    pub region_preference: f64,
    /// How much busier, in requests a slot, the others may be before a flow is placed on a backend
    /// server that fails more requests than they do. Twice the preference for the own zone: another
    /// zone is better than a failing backend server. When all are avoided, none is.
    pub avoidance: f64,
    /// Load factor of a backend server that is still slow from its start.
    pub cold_factor: f64,
    /// A gone backend server is remembered for so long, so that its flows can be told. Flows are
    /// forgotten after 60 s.
    pub remember_gone: Duration,
}

impl Default for SteeringOptions {
    fn default() -> Self {
        Self {
            zone: ZoneName::new(),
            far_zones: BTreeSet::new(),
            zone_regions: BTreeMap::new(),
            cold_limit: None,
            entry_times: EntryTimes::default(),
            max_flows: 200_000,
            resting_flow_load: 0.05,
            zone_preference: 1.5,
            region_preference: 3.0,
            avoidance: 3.0,
            cold_factor: 1.6,
            remember_gone: Duration::from_secs(60),
        }
    }
}
