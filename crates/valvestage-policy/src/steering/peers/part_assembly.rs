//! Reassembly of values that are split over several datagrams.

use std::net::SocketAddrV4;

use super::peer_message::MessagePart;

/// Collects the parts that one peer sends of one version or revision.
#[derive(Debug)]
pub struct PartAssembly<T> {
    sender: SocketAddrV4,
    subject: u64,
    parts: Vec<Option<T>>,
}

impl<T> PartAssembly<T> {
    /// Adds a part to `assembly`, which is replaced by a new one if the part does not belong to it.
    /// Returns all parts when none is missing.
    pub fn add(
        assembly: &mut Option<Self>,
        sender: SocketAddrV4,
        subject: u64,
        part: MessagePart,
        value: T,
    ) -> Option<Vec<T>> {
        let count = usize::from(part.count);
        let belongs = assembly.as_ref().is_some_and(|known| {
            known.sender == sender && known.subject == subject && known.parts.len() == count
        });
        if !belongs {
            let parts = (0..count).map(|_| None).collect();
            *assembly = Some(Self { sender, subject, parts });
        }

        let parts = &mut assembly.as_mut()?.parts;
        *parts.get_mut(usize::from(part.index))? = Some(value);
        if parts.iter().any(Option::is_none) {
            return None;
        }
        assembly.take().map(|done| done.parts.into_iter().flatten().collect())
    }
}
