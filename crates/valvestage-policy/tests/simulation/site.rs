//! Size and topology of a simulated deployment.

use std::net::{Ipv4Addr, SocketAddrV4};

use valvestage_policy::steering::seeded_draw::SeededDraw;
use valvestage_policy::steering::{ColdLimit, ColdRate};

use crate::callers::CallerProfile;
use crate::events::Millis;

/// Names of the services of every deployment.
pub const SERVICES: [&str; 2] = ["streams", "photos"];

/// Availability zones; a deployment uses the first one, two or all three.
pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// The busy caller in [`TrafficPlan::OneBusy`], and its number of flows.
pub const BUSY_CALLER: usize = 0;
const BUSY_FLOWS: usize = 8;

/// Number of balancers, the first ones, that are the seeds of all.
pub const SEED_COUNT: usize = 3;

/// Fewest and most balancers that a deployment starts with if others are added. The seeds may leave
/// before these come.
const MIN_FOUNDERS: usize = SEED_COUNT + 2;
const MAX_FOUNDERS: usize = 12;

/// What the callers of a deployment do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrafficPlan {
    /// Every second caller keeps its flow for many requests with short pauses, and the others open
    /// a flow for each request.
    Dense,
    /// One caller in three has resting flows; the others are as in `Dense`.
    Mixed,
    /// Every caller has several flows with few requests and short pauses.
    Brisk,
    /// Few callers, each with one resting flow: a service gets less than one request in a second.
    Sparse,
    /// Few callers, of which every second one opens a flow for each request, and the others have one
    /// resting flow each: a service gets a few new flows in a second at most.
    Trickle,
    /// [`BUSY_CALLER`] has many flows with short pauses, and the others one resting flow each.
    OneBusy,
}

impl TrafficPlan {
    pub fn profile(self, caller: usize) -> CallerProfile {
        let dense =
            if caller.is_multiple_of(2) { CallerProfile::LONG } else { CallerProfile::BRIEF };

        match self {
            Self::Mixed if caller.is_multiple_of(3) => {
                CallerProfile { flows: 2, ..CallerProfile::RESTING }
            }
            Self::Brisk => CallerProfile::SHORT,
            Self::Dense | Self::Mixed => dense,
            Self::OneBusy if caller == BUSY_CALLER => {
                CallerProfile { flows: BUSY_FLOWS, ..CallerProfile::LONG }
            }
            Self::Trickle if !caller.is_multiple_of(2) => CallerProfile::BRIEF,
            Self::Sparse | Self::Trickle | Self::OneBusy => CallerProfile::RESTING,
        }
    }
}

/// Size and network conditions of one deployment.
#[derive(Debug, Clone)]
pub struct SitePlan {
    pub zones: usize,
    /// Number of balancers; they are assigned to the zones round-robin.
    pub balancers: usize,
    /// How many of them, the last ones, are added only later.
    pub spares: usize,
    /// Number of backend servers of each service in each zone.
    pub backends_each: usize,
    /// Number of callers in each zone.
    pub callers_each: usize,
    pub traffic: TrafficPlan,
    /// Whether routers hash consistently, so that nearly all flows keep their balancer when one is
    /// added or removed.
    pub is_steady: bool,
    /// Whether links between balancers have 10 Mbit/s and a short queue; otherwise 1,000 Mbit/s.
    pub has_slow_links: bool,
    /// Limits for cold backend servers. None disables evacuations and cold starts.
    pub places: Option<PlaceRules>,
}

/// How many requests cold backend servers can take.
#[derive(Debug, Clone, Copy)]
pub struct PlaceRules {
    pub limit: ColdLimit,
    pub rate: ColdRate,
    /// How long a backend server is cold after its start.
    pub cold_ms: Millis,
}

impl SitePlan {
    pub fn draw(draw: &mut SeededDraw) -> Self {
        let zones = 1 + draw.below(3);
        // One deployment in 25 is large: 30 to 100 balancers.
        let balancers = if draw.below(25) == 0 { 30 + draw.below(71) } else { 3 + draw.below(10) };

        Self {
            zones,
            balancers: balancers.max(zones),
            spares: 0,
            backends_each: 2 + draw.below(3),
            callers_each: 4 + draw.below(5),
            traffic: TrafficPlan::Dense,
            is_steady: draw.below(2) == 0,
            has_slow_links: draw.below(2) == 0,
            places: None,
        }
    }

    /// Draws the limits of cold backend servers, which enables evacuations and cold starts.
    pub fn add_cold_limits(&mut self, draw: &mut SeededDraw) {
        let number = |draw: &mut SeededDraw, limit| u32::try_from(draw.below(limit)).expect("fits");
        let limit = ColdLimit { rate_factor: 1.5, extra_rate: f64::from(number(draw, 4)) };
        let rate = ColdRate::try_from(f64::from(1 + number(draw, 6))).expect("the rate is valid");
        let cold_ms = 1_000 + Millis::from(number(draw, 6_000));

        self.places = Some(PlaceRules { limit, rate, cold_ms });
    }

    /// Draws callers of which some have resting flows, in half of the deployments only few.
    pub fn add_resting_flows(&mut self, draw: &mut SeededDraw) {
        if draw.below(2) == 0 {
            self.make_sparse(draw);
        } else {
            self.traffic = TrafficPlan::Mixed;
        }
    }

    /// Draws one to three balancers that are added later, and many short flows or resting ones.
    pub fn add_spares(&mut self, draw: &mut SeededDraw) {
        self.spares = 1 + draw.below(3);
        self.balancers = self.balancers.clamp(MIN_FOUNDERS, MAX_FOUNDERS) + self.spares;
        match draw.below(4) {
            0 => self.make_sparse(draw),
            1 => self.traffic = TrafficPlan::Mixed,
            _ => self.traffic = TrafficPlan::Brisk,
        }
    }

    /// Reports whether a balancer is there from the start.
    pub fn is_founder(&self, balancer: usize) -> bool {
        balancer < self.balancers - self.spares
    }

    /// Reports whether resets of open flows are judged by the excuses of the rules, which apply to
    /// flows that rest, too.
    pub fn judges_by_rules(&self) -> bool {
        self.traffic != TrafficPlan::Dense
    }

    /// Leaves one or two callers in each zone, whose flows rest.
    pub fn make_sparse(&mut self, draw: &mut SeededDraw) {
        self.traffic = TrafficPlan::Sparse;
        self.callers_each = 1 + draw.below(2);
    }

    /// Leaves two or three callers in each zone, with few new flows.
    pub fn make_trickle(&mut self, draw: &mut SeededDraw) {
        self.traffic = TrafficPlan::Trickle;
        self.callers_each = 2 + draw.below(2);
    }

    /// Draws one busy caller among resting ones, and few backend servers, so that several of its
    /// flows are at the same one.
    pub fn add_busy_caller(&mut self, draw: &mut SeededDraw) {
        self.traffic = TrafficPlan::OneBusy;
        self.backends_each = 1 + draw.below(2);
    }

    /// Draws many callers, some with resting flows, and few balancers and backend servers, so that
    /// several callers use the same backend server through the same balancer.
    pub fn gather_callers(&mut self, draw: &mut SeededDraw) {
        self.traffic = TrafficPlan::Mixed;
        self.balancers = 2 + self.zones + draw.below(3);
        self.backends_each = 1;
        self.callers_each = 9 + draw.below(6);
    }

    pub fn zone_of(&self, balancer: usize) -> usize {
        balancer % self.zones
    }
}

pub fn balancer_address(balancer: usize) -> SocketAddrV4 {
    let last = u8::try_from(balancer + 1).expect("the address fits");

    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, last), 7_000)
}

/// Returns the service address of a number. The first few addresses carry traffic and lead to the
/// two services alternately; all others only enlarge the configuration.
pub fn service_address(number: usize) -> SocketAddrV4 {
    let [.., high, low] = number.to_be_bytes();

    SocketAddrV4::new(Ipv4Addr::new(198, 18, high, low), 443)
}
