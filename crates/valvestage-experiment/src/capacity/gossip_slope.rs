//! Bytes, processor time and propagation delay of heartbeats, by the number of balancers.

use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime};

use valvestage_core::ids::BalancerId;
use valvestage_policy::membership::{
    HeartbeatMessage, HeartbeatOptions, HeartbeatTable, PeerRecord, PeerState,
};

use crate::deployment::{start, zone_name};
use crate::table::Table;

const INTERVAL: Duration = Duration::from_millis(300);

/// Overhead in bytes of a call in addition to the message: framing, tarpc's header and MAC. This is
/// the measured size of an empty call.
const CALL_BYTES: usize = 75;

const ROUNDS: u32 = 200;

/// Rounds that are not measured, in which all balancers get to know each other.
const WARM_UP: u32 = 80;

/// Prints the cost of heartbeats and the time in which a change spreads, by number of balancers.
pub fn print_table() {
    let mut table = Table::new(&[
        "balancers",
        "bytes sent a second, each",
        "processor, percent of a core, each",
        "oldest heartbeat known, s",
        "bytes of memory, each",
        "a change is in force on all after, ms",
    ]);

    for balancers in [8, 60, 240, 420] {
        let slope = measure(balancers);
        table.row(&[
            balancers.to_string(),
            format!("{:.0}", slope.bytes_a_second),
            format!("{:.3}", slope.core_percent),
            format!("{:.1}", slope.oldest.as_secs_f64()),
            format!("{}", balancers as usize * std::mem::size_of::<PeerRecord>()),
            slope.spread.as_millis().to_string(),
        ]);
    }
    table.print("Heartbeats every 300 ms");
}

struct Slope {
    bytes_a_second: f64,
    core_percent: f64,
    oldest: Duration,
    spread: Duration,
}

fn record(id: BalancerId) -> PeerRecord {
    let [_, _, middle, low] = id.to_be_bytes();
    let address = SocketAddr::from(([10, 200, middle, low], 9_000));

    PeerRecord {
        id,
        zone: zone_name(id as usize % 7),
        data_address: address,
        peer_address: address,
        started_ms: 1_800_000_000_000 + u64::from(id),
        revision: 1,
        beat: 0,
        state: PeerState::Serving,
        lease_epoch: 1_800_000_000_000,
        configuration: 430,
        owner_map: 431,
        token_keys: 2,
    }
}

fn measure(balancers: u32) -> Slope {
    // The long timeout keeps balancers from being declared dead: the age of the known heartbeats is
    // measured.
    let options =
        HeartbeatOptions { dead_after: Duration::from_secs(3_600), ..HeartbeatOptions::default() };
    let mut now = start();
    let mut tables: Vec<HeartbeatTable> = (0..balancers)
        .map(|id| {
            let seeds = (0..balancers).map(|peer| PeerRecord { started_ms: 0, ..record(peer) });
            HeartbeatTable::new(options, record(id), seeds, now)
        })
        .collect();

    let (mut bytes, mut spent) = (0, Duration::ZERO);
    let mut oldest = Duration::ZERO;
    for round in 0..ROUNDS {
        now += INTERVAL;
        if round == WARM_UP {
            (bytes, spent) = (0, Duration::ZERO);
        }
        for from in 0..tables.len() {
            exchange(&mut tables, from, now, false, &mut bytes, &mut spent);
        }

        if round >= WARM_UP {
            let of_table = |table: &HeartbeatTable| oldest_beat(table, &tables);
            oldest = oldest.max(tables.iter().step_by(7).map(of_table).max().unwrap_or_default());
        }
    }

    let seconds = (INTERVAL * (ROUNDS - WARM_UP)).as_secs_f64();
    let each = f64::from(balancers);
    #[allow(clippy::cast_precision_loss)]
    let bytes_a_second = bytes as f64 / seconds / each;
    Slope {
        bytes_a_second,
        core_percent: 100.0 * spent.as_secs_f64() / seconds / each,
        oldest,
        spread: spread(&mut tables, now),
    }
}

/// Gives one balancer a new configuration, and returns the time until all balancers have it. A
/// balancer that learns of the new version fetches it and notifies others in its next step, as the
/// control policy does.
fn spread(tables: &mut [HeartbeatTable], from: SystemTime) -> Duration {
    const STEP: Duration = Duration::from_millis(50);
    const STEPS_PER_INTERVAL: usize = 6;
    const NEW: u64 = 431;
    let mut has_news = vec![false; tables.len()];
    tables[0].set_versions(NEW, NEW, 2);
    has_news[0] = true;

    for step in 0.. {
        let now = from + STEP * step;
        for (place, has_news) in has_news.iter_mut().enumerate() {
            let is_turn = (place + step as usize).is_multiple_of(STEPS_PER_INTERVAL);
            if *has_news || is_turn {
                let news = std::mem::take(has_news);
                let (mut bytes, mut spent) = (0, Duration::ZERO);
                exchange(tables, place, now, news, &mut bytes, &mut spent);
            }
        }
        for (place, table) in tables.iter_mut().enumerate() {
            let heard = table.known(now).any(|(record, _)| record.configuration == NEW);
            if heard && table.own().configuration < NEW {
                table.set_versions(NEW, NEW, 2);
                has_news[place] = true;
            }
        }
        if tables.iter().all(|table| table.own().configuration == NEW) {
            return STEP * (step + 1);
        }
    }
    Duration::MAX
}

fn exchange(
    tables: &mut [HeartbeatTable],
    from: usize,
    now: SystemTime,
    news: bool,
    bytes: &mut usize,
    spent: &mut Duration,
) {
    let began = Instant::now();
    let targets = tables[from].beat(now, news);

    for target in targets {
        let message = tables[from].message(now);
        *bytes += size(&message);
        let place = target.id as usize;
        tables[place].merge(message, now);
        let answer = tables[place].message(now);
        *bytes += size(&answer);
        tables[from].merge(answer, now);
    }
    *spent += began.elapsed();
}

fn size(message: &HeartbeatMessage) -> usize {
    postcard::to_stdvec(message).map_or(0, |encoded| encoded.len()) + CALL_BYTES
}

/// Returns the age of the oldest last heartbeat in a table: the heartbeats by which the table is
/// behind, times the heartbeat interval.
fn oldest_beat(table: &HeartbeatTable, tables: &[HeartbeatTable]) -> Duration {
    let behind = table.known(start()).map(|(record, _)| {
        let latest = tables[record.id as usize].own().beat;
        u32::try_from(latest.saturating_sub(record.beat)).unwrap_or(u32::MAX)
    });

    INTERVAL * behind.max().unwrap_or(0)
}
