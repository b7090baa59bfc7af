//! Entries that another writer leaves with one broken field, and what balancers read from them.

use valvestage_policy::steering::seeded_draw::SeededDraw;
use valvestage_policy::steering::{BackendEntry, EntryChange, StartMillis};

/// Birth that no simulated backend server has.
const OTHER_BIRTH: StartMillis = 1;

/// Service that no configuration names.
const UNKNOWN_SERVICE: &str = "unknown";

/// Field of a backend server's entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryField {
    Service,
    Address,
    Zone,
    Version,
    Slots,
    State,
    ColdLeft,
    WriteCount,
    Birth,
}

impl EntryField {
    pub const ALL: [Self; 9] = [
        Self::Service,
        Self::Address,
        Self::Zone,
        Self::Version,
        Self::Slots,
        Self::State,
        Self::ColdLeft,
        Self::WriteCount,
        Self::Birth,
    ];
}

/// What another writer did to a field.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FieldDamage {
    Missing,
    OtherType,
    /// The type is right, but the value is none that the backend server writes.
    OtherValue,
}

impl FieldDamage {
    pub const ALL: [Self; 3] = [Self::Missing, Self::OtherType, Self::OtherValue];
}

/// An entry with one broken field.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BrokenEntry {
    /// Selects the backend server, modulo the count of those that accept flows.
    pub backend: usize,
    pub field: EntryField,
    pub damage: FieldDamage,
}

impl BrokenEntry {
    /// Draws an entry. One in three lacks the birth or has another one, which is the only damage
    /// that leaves a readable entry of another incarnation.
    pub fn draw(backend: usize, draw: &mut SeededDraw) -> Self {
        let field = match draw.below(3) {
            0 => EntryField::Birth,
            _ => EntryField::ALL[draw.below(EntryField::ALL.len())],
        };
        let damage = FieldDamage::ALL[draw.below(FieldDamage::ALL.len())];

        Self { backend, field, damage }
    }

    /// Returns the change that the reader of the platform's entries makes of the sound entry with
    /// this damage. It reports an entry as unusable if a field does not have its type or its range,
    /// and reads one without a birth as that of the incarnation whose birth is unknown. Whether such
    /// an entry is usable, is left to the balancers.
    pub fn as_read(self, sound: &BackendEntry) -> EntryChange {
        let written = |entry: BackendEntry| EntryChange::Written(entry);
        let with_birth = |birth: Option<StartMillis>| {
            let instance = sound.name.incarnation(birth);
            written(BackendEntry { instance, born: birth, ..sound.clone() })
        };

        match (self.field, self.damage) {
            (EntryField::Birth, FieldDamage::Missing) => with_birth(None),
            (EntryField::Birth, FieldDamage::OtherValue) => with_birth(Some(OTHER_BIRTH)),
            (EntryField::Service, FieldDamage::OtherValue) => {
                written(BackendEntry { service: UNKNOWN_SERVICE.to_owned(), ..sound.clone() })
            }
            // Any text is a version, and any number a count of writes.
            (EntryField::Version | EntryField::WriteCount, FieldDamage::OtherValue) => {
                written(sound.clone())
            }
            _ => EntryChange::Unusable,
        }
    }
}
