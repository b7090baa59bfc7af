//! Limits and weights of steering.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use valvestage_core::ids::{RegionName, ZoneName};

use super::cold_shares::ColdLimit;
use crate::steering::knowledge::entry_times::EntryTimes;

/// Settings of admission control.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionOptions {
    /// Share of the capacity of a service that each priority gets at least, if its callers ask for
    /// that much; 0 to 0.2.
    pub floor: f64,
}

/// Limits and weights of steering, set at the start of a balancer.
#[derive(Debug, Clone)]
pub struct SteeringOptions {
    /// Availability zone of this VM.
    pub zone: ZoneName,
    /// Availability zones that are in other regions than this VM.
    pub other_region_zones: BTreeSet<ZoneName>,
    /// Region of each availability zone, as far as known.
    pub zone_regions: BTreeMap<ZoneName, RegionName>,
    /// Limit on the requests that all balancers together send to a cold backend server whose
    /// service has a configured cold rate; `None` disables the limit.
    pub cold_limit: Option<ColdLimit>,
    /// Admission of new flows while a service is short of slots; `None` admits all of them.
    pub admission: Option<AdmissionOptions>,
    /// Whether balancers tell each other how fast backend servers answer.
    pub shares_pace: bool,
    /// How soon entries of backend servers lapse and are written again.
    pub entry_times: EntryTimes,
    /// Maximum number of tracked flows. A record takes some 100 bytes; the reference deployment has
    /// 6,200 flows per balancer.
    pub max_flows: usize,
    /// Load of an open idle flow, in requests. A long-lived flow sends about one request per
    /// second, which takes some 40 ms.
    pub idle_flow_load: f64,
    /// Additional load, in requests per slot, that the backend servers of this zone may have before
    /// a flow is placed in another zone. docs/DECISIONS.md lists the trials behind the value.
    pub zone_preference: f64,
    /// Additional load, in requests per slot, that the backend servers of all zones of this region
    /// may have before a flow is placed in another region, where each packet of a request takes
    /// tens of milliseconds longer. docs/DECISIONS.md lists the trials behind the value.
    pub region_preference: f64,
    /// Additional load, in requests per slot, that the others may have before a flow is placed on a
    /// backend server that fails more requests than they do. It is twice the preference for this
    /// zone, since another zone is better than a failing backend server. If all are avoided, the
    /// penalty has no effect.
    pub avoidance_penalty: f64,
    /// Factor on the load of a backend server that is still slow after its start.
    pub cold_factor: f64,
    /// How long a backend server that is gone is remembered, so that the callers of its flows can
    /// be sent resets. Flows are forgotten after 60 s.
    pub gone_retention: Duration,
}

impl Default for SteeringOptions {
    fn default() -> Self {
        Self {
            zone: ZoneName::new(),
            other_region_zones: BTreeSet::new(),
            zone_regions: BTreeMap::new(),
            cold_limit: None,
            admission: None,
            shares_pace: false,
            entry_times: EntryTimes::default(),
            max_flows: 200_000,
            idle_flow_load: 0.05,
            zone_preference: 1.5,
            region_preference: 3.0,
            avoidance_penalty: 3.0,
            cold_factor: 1.6,
            gone_retention: Duration::from_secs(60),
        }
    }
}
