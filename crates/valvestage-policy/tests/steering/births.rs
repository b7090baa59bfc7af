//! Guards against resets of living flows by entries that another writer spoiled. Where processes
//! say when they were born, an entry without that names no backend server. If it counts as the
//! entry of another process, it ends the living one at its name or address: the flows there are
//! reset, and what the living process writes afterwards, its drain too, is ignored.

use std::time::Instant;

use quickcheck::{Arbitrary, Gen};
use valvestage_policy::steering::peers::backend_parts::{backends_messages, entries_of};
use valvestage_policy::steering::peers::peer_message::{BackendsPull, ChangeCursor, WalkScope};
use valvestage_policy::steering::{
    BackendDirectory, BackendEntry, BackendName, BackendPhase, BackendUpdate, EntryChange,
    Knowledge, PacketVerdict, PeerMessage, SteeringOptions, SteeringPolicy, StoreLink, StoreReply,
};

use crate::fixtures::{
    OWN_ZONE, at, backend, data, flow, knowledge, millis, opening, seeded, start,
};

/// Number in the name of the backend server whose entry is spoiled.
const NUMBER: u64 = 7;

/// Numbers of the backend servers whose entries stay as they are.
const OTHERS: [u64; 3] = [11, 12, 13];

/// Start time that entries tell, in milliseconds since 1970.
const BORN: u64 = 1_796_000_000_000;

/// Longer than flows may have been opened at a process before its start is known.
const FLOWS_ARE_OLD_AFTER_MS: u64 = 5_500;

/// Returns the entry of a process that says when it was born, or doesn't.
fn entry(number: u64, born: Option<u64>, revision: u64) -> BackendEntry {
    let name = BackendName::new(&format!("i-{number:x}"), number);

    BackendEntry {
        instance: name.incarnation(born),
        name,
        born,
        position: at(revision),
        ..backend(number, "core", OWN_ZONE)
    }
}

fn own_entry(revision: u64) -> BackendEntry {
    entry(NUMBER, Some(BORN), revision)
}

fn draining(entry: BackendEntry) -> BackendEntry {
    BackendEntry { phase: BackendPhase::Draining, ..entry }
}

/// Returns the entries of backend servers that all say when they were born, or all don't.
fn entries(born: Option<u64>) -> Vec<BackendEntry> {
    OTHERS.into_iter().chain([NUMBER]).map(|number| entry(number, born, 100 + number)).collect()
}

#[track_caller]
fn assert_phase(directory: &BackendDirectory, entry: &BackendEntry, phase: BackendPhase) {
    assert_eq!(directory.get(entry.instance).map(|known| known.phase), Some(phase));
}

struct Site {
    policy: SteeringPolicy,
    known: Knowledge,
    now: Instant,
}

impl Site {
    /// Creates a balancer with an open flow at the backend server whose entry is spoiled. The flow
    /// is so old that the backend server held it before any start that becomes known from now on.
    fn with_open_flow(backends: &[BackendEntry]) -> Self {
        let options = SteeringOptions { zone: OWN_ZONE.to_owned(), ..Default::default() };
        let policy = SteeringPolicy::new(options, 1);
        let mut site = Self { policy, known: knowledge(backends), now: start() };

        site.request();
        for _ in 0..10 {
            site.pass(FLOWS_ARE_OLD_AFTER_MS / 10);
        }
        site
    }

    fn pass(&mut self, time_ms: u64) {
        self.now += millis(time_ms);
        self.known.confirm(Some(self.now));
    }

    fn request(&mut self) -> PacketVerdict {
        let token = BackendDirectory::token_of(NUMBER);

        self.policy.on_packet(&self.known, &data(flow(1), token, 1_001, 100, 501), self.now)
    }

    /// Decides on the entries that contradict others, as a balancer does at each tick.
    fn resolve(&mut self) {
        self.known.directory.resolve_conflicts(self.known.confirmed_at(), self.now);
    }

    fn apply(&mut self, entry: BackendEntry) {
        self.known.directory.apply_entry(entry, self.now);
    }

    #[track_caller]
    fn assert_flow_stays(&mut self) {
        self.policy.reset_ended_flows(&mut self.known, self.now);
        assert!(self.policy.take_resets().is_empty());
        let verdict = self.request();
        assert!(matches!(verdict, PacketVerdict::Forward { number: NUMBER, .. }), "{verdict:?}");
    }

    /// Returns how many of some new flows are placed on the backend server.
    fn new_flows(&mut self) -> usize {
        let verdicts = (100..200)
            .map(|port| self.policy.on_packet(&self.known, &opening(flow(port), 0), self.now));

        verdicts.filter(|it| matches!(it, PacketVerdict::Forward { number: NUMBER, .. })).count()
    }
}

/// Another writer leaves `born` out of one entry, and the process writes its own at its next
/// heartbeat.
#[test]
fn an_entry_without_birth_ends_no_flow_and_the_next_sound_entry_holds() {
    let mut site = Site::with_open_flow(&entries(Some(BORN)));

    site.apply(entry(NUMBER, None, 1_100));
    site.assert_flow_stays();
    assert_phase(&site.known.directory, &own_entry(0), BackendPhase::Unusable);
    assert_eq!(site.new_flows(), 0, "the entry names no backend server to use");
    site.pass(700);
    site.apply(own_entry(1_101));
    site.assert_flow_stays();
    assert_phase(&site.known.directory, &own_entry(0), BackendPhase::Ready);
}

/// If the drain is ignored, new flows go to a backend server that leaves.
#[test]
fn a_drain_after_an_entry_without_birth_is_known() {
    let mut site = Site::with_open_flow(&entries(Some(BORN)));

    site.apply(entry(NUMBER, None, 1_100));
    site.apply(own_entry(1_101));
    site.pass(5_000);
    site.apply(draining(own_entry(1_102)));
    site.assert_flow_stays();
    assert_phase(&site.known.directory, &own_entry(0), BackendPhase::Draining);
    assert_eq!(site.new_flows(), 0);
}

/// The entry of another id has the address of a living process.
#[test]
fn an_entry_without_birth_ends_no_flow_at_its_address() {
    let mut site = Site::with_open_flow(&entries(Some(BORN)));
    let foreign = BackendEntry { address: own_entry(0).address, ..entry(99, None, 1_100) };

    site.apply(foreign.clone());
    site.assert_flow_stays();
    assert_phase(&site.known.directory, &own_entry(0), BackendPhase::Ready);
    assert_eq!(site.known.directory.get(foreign.instance), None, "it names no backend server");
}

/// The entry of the living process lapses, and another writer's stands in its place.
#[test]
fn an_entry_without_birth_does_not_follow_a_lapsed_one() {
    let mut site = Site::with_open_flow(&entries(Some(BORN)));

    site.known.directory.mark_gone(own_entry(0).instance, at(1_099), site.now);
    site.apply(entry(NUMBER, None, 1_100));
    site.assert_flow_stays();
    site.apply(own_entry(1_101));
    assert_phase(&site.known.directory, &own_entry(0), BackendPhase::Ready);
}

/// Nobody says when it was born, as in older deployments: entries and drains hold as they are.
#[test]
fn entries_without_births_hold_where_no_process_tells_its_birth() {
    let mut site = Site::with_open_flow(&entries(None));
    assert_ne!(site.new_flows(), 0);

    site.apply(entry(NUMBER, None, 1_100));
    site.apply(draining(entry(NUMBER, None, 1_101)));
    site.assert_flow_stays();
    assert_phase(&site.known.directory, &entry(NUMBER, None, 0), BackendPhase::Draining);
    let other = BackendEntry { address: own_entry(0).address, ..entry(99, None, 1_200) };
    site.apply(other.clone());
    assert_phase(&site.known.directory, &other, BackendPhase::Ready);
    assert!(site.known.directory.get(entry(NUMBER, None, 0).instance).unwrap().is_gone());
}

/// One entry with the field does not make the others unusable, or a deployment without births
/// would lose all its backend servers by one entry of another writer.
#[test]
fn one_entry_with_a_birth_does_not_make_those_without_unusable() {
    let mut site = Site::with_open_flow(&entries(None));

    site.apply(entry(99, Some(BORN), 1_100));
    for number in OTHERS.into_iter().chain([NUMBER, 14]) {
        site.apply(entry(number, None, 1_200 + number));
        assert_phase(&site.known.directory, &entry(number, None, 0), BackendPhase::Ready);
    }
    site.assert_flow_stays();
}

fn page(entries: Vec<BackendEntry>) -> StoreReply<BackendUpdate> {
    let objects = entries.into_iter().map(|entry| BackendUpdate {
        name: entry.name,
        position: entry.position,
        change: EntryChange::Written(entry),
    });

    StoreReply::Page { objects: objects.collect(), next_after: None, position: at(1_000) }
}

/// A balancer that has just started knows no entry with the field yet when it reads the one
/// without.
#[test]
fn an_entry_without_birth_in_the_first_list_names_no_backend_server() {
    let now = start();
    let mut known = Knowledge::default();
    let mut link = StoreLink::new(None, now);
    let spoiled = entry(NUMBER, None, 900);
    let others = entries(Some(BORN)).into_iter().filter(|other| other.name != spoiled.name);

    link.on_backends_reply(
        &mut known,
        page([spoiled.clone()].into_iter().chain(others).collect()),
        now,
    );
    assert_eq!(known.directory.get(spoiled.instance), None);
    assert_eq!(known.directory.iter().count(), OTHERS.len());
    known.directory.apply_entry(own_entry(1_001), now);
    assert_phase(&known.directory, &own_entry(0), BackendPhase::Ready);
}

/// What a balancer that could not judge the entry took for the end of the process is corrected by
/// the process's own entry.
#[test]
fn a_process_that_an_entry_without_birth_superseded_lives_again() {
    let now = start();
    let mut directory = BackendDirectory::default();
    directory.put(entry(NUMBER, None, 100));
    directory.apply_entry(own_entry(90), now);
    directory.apply_entry(draining(own_entry(101)), now);
    assert_phase(&directory, &own_entry(0), BackendPhase::Draining);
    assert_eq!(directory.live_of(own_entry(0).name), [own_entry(0).instance]);
}

/// Tells one balancer all that another one knows.
fn exchange(sender: &BackendDirectory, receiver: &mut BackendDirectory, now: Instant) {
    let pull = BackendsPull { after: ChangeCursor::START, scope: WalkScope::Everything };

    for message in backends_messages(sender, pull, now) {
        let PeerMessage::Backends(part) = message else { panic!("not a part of backends") };
        for told in entries_of(part, now) {
            receiver.apply_peer_entry(told, now);
        }
    }
}

/// Peers tell each other what an entry without birth left of the process.
#[test]
fn a_balancer_that_learns_from_peers_keeps_the_process() {
    let now = start();
    let mut sender = knowledge(&entries(Some(BORN))).directory;
    sender.apply_entry(entry(NUMBER, None, 1_100), now);
    sender.complete(at(1_100));
    let mut receiver = BackendDirectory::default();

    exchange(&sender, &mut receiver, now);
    let known = receiver.get(own_entry(0).instance).unwrap();
    assert_eq!((known.born, known.phase), (Some(BORN), BackendPhase::Unusable));
    assert!(receiver.apply_peer_entry(entry(NUMBER, None, 1_100), now).is_empty());
    receiver.apply_entry(own_entry(1_101), now);
    assert_phase(&receiver, &own_entry(0), BackendPhase::Ready);
}

/// A late write of the process before, or another writer's entry, with an earlier birth.
#[test]
fn an_entry_with_an_earlier_birth_ends_no_flow_and_the_next_sound_entry_holds() {
    let mut site = Site::with_open_flow(&entries(Some(BORN)));

    site.apply(entry(NUMBER, Some(BORN - 60_000), 1_100));
    site.assert_flow_stays();
    assert_phase(&site.known.directory, &own_entry(0), BackendPhase::Unusable);
    assert_eq!(site.new_flows(), 0, "the entry names no backend server to use");
    site.pass(700);
    site.apply(draining(own_entry(1_101)));
    site.pass(5_000);
    site.resolve();
    site.assert_flow_stays();
    assert_phase(&site.known.directory, &own_entry(0), BackendPhase::Draining);
}

/// The clock of the machine went back between two starts: nobody writes the former entry again.
#[test]
fn a_start_with_an_earlier_birth_is_known_once_the_process_before_wrote_nothing() {
    let mut site = Site::with_open_flow(&entries(Some(BORN)));
    let restarted = entry(NUMBER, Some(BORN - 60_000), 1_100);

    site.apply(restarted.clone());
    for revision in 1_101..1_104 {
        site.pass(700);
        site.resolve();
        site.assert_flow_stays();
        // Further writes of the process don't begin the time anew.
        site.apply(BackendEntry { position: at(revision), ..restarted.clone() });
    }
    site.pass(700);
    site.resolve();
    assert!(site.known.directory.get(own_entry(0).instance).unwrap().is_superseded());
    assert_phase(&site.known.directory, &restarted, BackendPhase::Ready);
    site.apply(draining(BackendEntry { position: at(1_110), ..restarted.clone() }));
    assert_phase(&site.known.directory, &restarted, BackendPhase::Draining);
}

/// Nothing counts as standing for as long as the store confirms nothing: the process may have
/// written its entry meanwhile.
#[test]
fn an_entry_with_an_earlier_birth_waits_for_the_store() {
    let mut site = Site::with_open_flow(&entries(Some(BORN)));

    site.apply(entry(NUMBER, Some(BORN - 60_000), 1_100));
    site.now += millis(60_000);
    site.resolve();
    site.assert_flow_stays();
}

/// A foreign entry with a later birth looks like a start. The process that writes its own entry
/// again is alive.
#[test]
fn a_process_that_a_later_birth_superseded_lives_again() {
    let mut site = Site::with_open_flow(&entries(Some(BORN)));

    site.apply(entry(NUMBER, Some(BORN + 60_000), 1_100));
    assert!(site.known.directory.get(own_entry(0).instance).unwrap().is_superseded());
    site.apply(draining(own_entry(1_101)));
    for _ in 0..4 {
        site.pass(700);
        site.resolve();
    }
    assert_phase(&site.known.directory, &own_entry(0), BackendPhase::Draining);
    assert_eq!(site.known.directory.live_of(own_entry(0).name), [own_entry(0).instance]);
}

/// The process after it was taken for a start, and has a later birth by its own clock.
#[test]
fn a_process_that_an_earlier_birth_superseded_lives_again_at_once() {
    let now = start();
    let mut known = knowledge(&entries(Some(BORN)));
    known.directory.apply_entry(entry(NUMBER, Some(BORN - 60_000), 1_100), now);
    known.confirm(Some(now + millis(60_000)));
    known.directory.resolve_conflicts(known.confirmed_at(), now + millis(60_000));
    assert!(known.directory.get(own_entry(0).instance).unwrap().is_superseded());

    known.directory.apply_entry(draining(own_entry(1_101)), now + millis(60_000));
    assert_phase(&known.directory, &own_entry(0), BackendPhase::Draining);
}

/// A process that was born before the one at the address cannot have followed it there.
#[test]
fn an_entry_with_an_earlier_birth_ends_no_flow_at_its_address() {
    let mut site = Site::with_open_flow(&entries(Some(BORN)));
    let foreign = entry(99, Some(BORN - 60_000), 1_100);
    let foreign = BackendEntry { address: own_entry(0).address, ..foreign };

    site.apply(foreign.clone());
    for _ in 0..20 {
        site.pass(700);
        site.resolve();
        site.assert_flow_stays();
    }
    assert_phase(&site.known.directory, &own_entry(0), BackendPhase::Ready);
    assert_eq!(site.known.directory.get(foreign.instance), None, "it names no backend server");

    site.known.directory.mark_gone(own_entry(0).instance, at(1_200), site.now);
    for _ in 0..4 {
        site.pass(700);
        site.resolve();
    }
    assert_phase(&site.known.directory, &foreign, BackendPhase::Ready);
}

/// A balancer that has just started read the entry with the earlier birth first, and a peer tells
/// it of the living process.
#[test]
fn the_order_in_which_births_are_learned_does_not_matter() {
    let now = start();
    for told in [BackendPhase::Unusable, BackendPhase::Ready] {
        let mut directory = knowledge(&entries(Some(BORN))[..3]).directory;
        let late = entry(NUMBER, Some(BORN - 60_000), 1_100);
        directory.apply_entry(late.clone(), now);
        directory.complete(at(1_100));

        let position = if told == BackendPhase::Unusable { at(1_100) } else { at(1_050) };
        let own = BackendEntry { phase: told, position, ..own_entry(0) };
        assert!(!directory.is_obsolete(&own, now));
        directory.apply_peer_entry(own, now);
        assert_phase(&directory, &own_entry(0), BackendPhase::Unusable);
        directory.apply_entry(own_entry(1_101), now);
        assert_phase(&directory, &own_entry(0), BackendPhase::Ready);
        assert_eq!(directory.live_of(late.name), [own_entry(0).instance]);
    }
}

/// Guards against balancers that differ for good: what one concluded from the order in which it
/// learned the two must not be told as the end of the process that is in doubt.
#[test]
fn balancers_agree_on_a_start_with_an_earlier_birth() {
    let now = start();
    let late = entry(NUMBER, Some(BORN - 60_000), 1_100);
    let own = BackendEntry { phase: BackendPhase::Unusable, position: at(1_100), ..own_entry(0) };
    let mut directories = [(); 2].map(|()| knowledge(&entries(Some(BORN))[..3]).directory);
    directories[0].apply_entry(late.clone(), now);
    directories[0].apply_peer_entry(own, now);

    let [sender, receiver] = &mut directories;
    exchange(sender, receiver, now);
    exchange(receiver, sender, now);
    let resolved_at = now + millis(10_000);
    for directory in &mut directories {
        directory.resolve_conflicts(Some(resolved_at), resolved_at);
        assert_phase(directory, &late, BackendPhase::Ready);
        assert_eq!(directory.live_of(late.name), [late.instance]);
    }
    assert_eq!(directories[0].live_digest(), directories[1].live_digest());
}

/// A way in which another writer spoils the entry of a living process.
#[derive(Debug, Clone, Copy)]
enum Spoiling {
    /// The field `born` is missing.
    BirthMissing,
    /// Some field is missing, null, of another type or out of range.
    Unusable,
    /// A birth before the one held.
    EarlierBirth(u16),
    /// The service is not one that the configuration names.
    UnknownService,
    /// Another id at the same address without a birth.
    OtherIdWithoutBirth,
    /// Another id at the same address with an earlier birth.
    OtherIdBornEarlier(u16),
}

impl Arbitrary for Spoiling {
    fn arbitrary(random: &mut Gen) -> Self {
        let earlier = u16::arbitrary(random);

        match u8::arbitrary(random) % 6 {
            0 => Self::BirthMissing,
            1 => Self::Unusable,
            2 => Self::EarlierBirth(earlier),
            3 => Self::UnknownService,
            4 => Self::OtherIdWithoutBirth,
            _ => Self::OtherIdBornEarlier(earlier),
        }
    }
}

impl Spoiling {
    fn apply(self, site: &mut Site, revision: u64) {
        let earlier = |by: u16| Some(BORN - 1 - u64::from(by));
        let at_its_address = |entry| BackendEntry { address: own_entry(0).address, ..entry };

        match self {
            Self::BirthMissing => site.apply(entry(NUMBER, None, revision)),
            Self::Unusable => {
                site.known.directory.apply_unusable(own_entry(0).name, at(revision));
            }
            Self::EarlierBirth(by) => site.apply(entry(NUMBER, earlier(by), revision)),
            Self::UnknownService => site.apply(BackendEntry {
                service: "nobody's".to_owned(),
                ..entry(NUMBER, Some(BORN), revision)
            }),
            Self::OtherIdWithoutBirth => site.apply(at_its_address(entry(99, None, revision))),
            Self::OtherIdBornEarlier(by) => {
                site.apply(at_its_address(entry(99, earlier(by), revision)));
            }
        }
    }
}

/// Whatever another writer makes of the entry until the process writes it again, no flow of the
/// process ends, and what the process wrote last holds.
#[test]
fn no_spoiled_entry_ends_a_living_process() {
    fn property(steps: Vec<(Spoiling, bool)>) -> bool {
        let mut site = Site::with_open_flow(&entries(Some(BORN)));
        let mut revision = 1_100;

        for (spoiling, drains) in steps {
            spoiling.apply(&mut site, revision);
            site.assert_flow_stays();
            site.pass(770);
            site.resolve();
            site.assert_flow_stays();
            let own = own_entry(revision + 1);
            site.apply(if drains { draining(own) } else { own });
            site.assert_flow_stays();
            let phase = if drains { BackendPhase::Draining } else { BackendPhase::Ready };
            assert_phase(&site.known.directory, &own_entry(0), phase);
            revision += 2;
        }
        true
    }

    seeded().quickcheck(property as fn(Vec<(Spoiling, bool)>) -> bool);
}
