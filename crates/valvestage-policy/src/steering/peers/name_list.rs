//! Lists of names in a datagram, each of which is listed once and referred to by its index.

/// Index of a name in such a list.
pub type NamePlace = u16;

/// Returns the index of a name in a list, to which it is added if it is new.
pub(in crate::steering) fn place_of(names: &mut Vec<String>, name: &str) -> NamePlace {
    let known = names.iter().position(|known| known == name);
    let place = known.unwrap_or_else(|| {
        names.push(name.to_owned());
        names.len() - 1
    });

    NamePlace::try_from(place).unwrap_or(NamePlace::MAX)
}
