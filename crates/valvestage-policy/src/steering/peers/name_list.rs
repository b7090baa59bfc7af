//! Lists of names in a datagram, each of which is listed once and referred to by its index.

/// Index of a name in such a list.
pub type NameIndex = u16;

/// Returns the index of a name in a list, to which it is added if it is new.
pub(in crate::steering) fn index_of_name(names: &mut Vec<String>, name: &str) -> NameIndex {
    let known = names.iter().position(|known| known == name);
    let index = known.unwrap_or_else(|| {
        names.push(name.to_owned());
        names.len() - 1
    });

    NameIndex::try_from(index).unwrap_or(NameIndex::MAX)
}
