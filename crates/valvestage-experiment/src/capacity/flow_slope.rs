//! Memory and time of flows at their home balancer, by the number of flows held.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Instant, SystemTime};

use valvestage_core::ids::{BalancerId, FlowKey};
use valvestage_policy::flows::{
    Binding, ExceptionFinder, FlowDirector, FlowOptions, FlowPacket, MAX_HOPS, RawTokenKeys,
    RelayHeader, TokenKeys,
};
use valvestage_policy::membership::LiveView;

use crate::data_path::decision_time::{bytes_per_flow, decision_nanoseconds};
use crate::deployment::{backend, configuration, zone_name};
use crate::table::Table;

const OWN_ID: BalancerId = 0;

/// Prints memory, decision time and exceptions, by the number of flows held.
pub fn print_table() {
    let mut table = Table::new(&[
        "flows held",
        "bytes a flow",
        "ns a decision",
        "ms to find exceptions after a drain",
        "exceptions",
        "bytes an exception on the wire",
    ]);

    for flows in [100_000, 200_000, 400_000] {
        let (mut director, keys) = director_with_flows(flows, 8);
        let decision = decision_nanoseconds(&mut director, &keys);
        let exceptions = find_exceptions(&mut director);
        table.add_row(&[
            flows.to_string(),
            format!("{:.1}", bytes_per_flow(&director)),
            format!("{decision:.0}"),
            format!("{:.0}", exceptions.millis),
            exceptions.count.to_string(),
            format!("{:.1}", exceptions.bytes_each),
        ]);
    }
    table.print("Flows at their home balancer");
}

/// Returns a flow director that is the home of a number of established flows, and the keys of these
/// flows.
pub fn director_with_flows(flows: usize, balancers: u32) -> (FlowDirector, Vec<FlowKey>) {
    let records = (1..=14).map(|id| backend(id, 1, 3, 3)).collect();
    let keys =
        TokenKeys::new(1, RawTokenKeys { flow_hash: (1, 2), current: 1, keys: vec![(1, 3, 4)] });
    let options = FlowOptions { expected_flows: flows, ..FlowOptions::default() };
    let mut director = FlowDirector::new(OWN_ID, options);
    director.install_configuration(Arc::new(configuration(1, 1, records)));
    director.install_keys(keys.clone());
    let view = LiveView::new((0..balancers).map(|id| (id, zone_name(id as usize % 7))));
    director.install_view(view.clone());

    // Other flows are skipped: their home is another balancer.
    let now = SystemTime::now();
    let callers = (0u32..).map(|number| SocketAddr::new(Ipv4Addr::from(number).into(), 4_000));
    let all = callers.map(|caller| keys.hasher().key(caller, 1));
    let own: Vec<FlowKey> = all.filter(|key| view.home(*key) == Some(OWN_ID)).take(flows).collect();
    for key in &own {
        let hop = RelayHeader { count: MAX_HOPS, ..RelayHeader::FIRST };
        let packet =
            FlowPacket { key: *key, service: 1, opening: true, closing: false, token: None, hop };
        director.decide(now, &packet);
        (1..=14).for_each(|backend| director.on_packet_from(backend));
    }
    (director, own)
}

struct ExceptionSearch {
    millis: f64,
    count: usize,
    bytes_each: f64,
}

/// Drains one of the 14 backend servers, and measures the search for flows that have become
/// exceptions.
fn find_exceptions(director: &mut FlowDirector) -> ExceptionSearch {
    let mut records: Vec<_> = (1..=14).map(|id| backend(id, 1, 3, 3)).collect();
    records[0].state = valvestage_core::BackendState::Draining;
    director.install_configuration(Arc::new(configuration(2, 1, records)));
    let bindings = director.bindings();
    let view = director.view().clone();

    let began = Instant::now();
    let finder = ExceptionFinder::new(OWN_ID, director.history(), view)
        .expect("director must have a configuration");
    let copies = finder.copies(&bindings);
    let millis = began.elapsed().as_secs_f64() * 1_000.0;

    let all: Vec<Binding> = copies.into_values().flatten().collect();
    let bytes = postcard::to_stdvec(&all).map_or(0, |encoded| encoded.len());
    #[allow(clippy::cast_precision_loss)]
    let bytes_each = bytes as f64 / all.len().max(1) as f64;
    ExceptionSearch { millis, count: all.len(), bytes_each }
}
