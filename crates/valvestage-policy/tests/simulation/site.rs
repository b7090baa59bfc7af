//! What a deployment consists of.

use std::net::{Ipv4Addr, SocketAddrV4};

use valvestage_policy::steering::seeded_draw::SeededDraw;
use valvestage_policy::steering::{ColdLimit, ColdRate};

use crate::events::Millis;

/// Services of every deployment.
pub const SERVICES: [&str; 2] = ["streams", "photos"];

/// Availability zones, of which a deployment has some.
pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// Size of one deployment.
#[derive(Debug, Clone)]
pub struct SitePlan {
    pub zones: usize,
    /// Balancers, dealt to the zones in turn.
    pub balancers: usize,
    /// Backend servers of each service in each zone.
    pub backends_each: usize,
    /// Callers in each zone.
    pub callers_each: usize,
    /// Whether routers keep nearly all flows where they are when a balancer comes or goes.
    pub is_steady: bool,
    /// Whether links between balancers have 10 Mbit/s and a short queue; otherwise 1,000.
    pub has_slow_links: bool,
    /// What holds of zones and cold backend servers; none: nothing.
    pub places: Option<PlaceRules>,
}

/// What cold backend servers bear.
#[derive(Debug, Clone, Copy)]
pub struct PlaceRules {
    pub limit: ColdLimit,
    pub rate: ColdRate,
    /// For how long one is cold.
    pub cold_ms: Millis,
}

impl SitePlan {
    pub fn draw(draw: &mut SeededDraw) -> Self {
        let zones = 1 + draw.below(3);
        // Now and then many.
        let balancers = if draw.below(25) == 0 { 30 + draw.below(71) } else { 3 + draw.below(10) };

        Self {
            zones,
            balancers: balancers.max(zones),
            backends_each: 2 + draw.below(3),
            callers_each: 4 + draw.below(5),
            is_steady: draw.below(2) == 0,
            has_slow_links: draw.below(2) == 0,
            places: None,
        }
    }

    /// What operators may do with zones, and what cold backend servers bear.
    pub fn add_places(&mut self, draw: &mut SeededDraw) {
        let number = |draw: &mut SeededDraw, limit| u32::try_from(draw.below(limit)).expect("few");
        let limit = ColdLimit { rate_factor: 1.5, extra_rate: f64::from(number(draw, 4)) };
        let rate = ColdRate::try_from(f64::from(1 + number(draw, 6))).expect("a rate");
        let cold_ms = 1_000 + Millis::from(number(draw, 6_000));

        self.places = Some(PlaceRules { limit, rate, cold_ms });
    }

    pub fn zone_of(&self, balancer: usize) -> usize {
        balancer % self.zones
    }
}

pub fn balancer_address(balancer: usize) -> SocketAddrV4 {
    let last = u8::try_from(balancer + 1).expect("few balancers");

    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, last), 7_000)
}

/// Addresses of services, those that stand for both services in turn and those without traffic.
pub fn service_address(number: usize) -> SocketAddrV4 {
    let [.., high, low] = number.to_be_bytes();

    SocketAddrV4::new(Ipv4Addr::new(198, 18, high, low), 443)
}
