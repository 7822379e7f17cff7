//! Checks of received messages. A message that no sound instance sends must not change the state,
//! or overflow a term or an index.

use super::{Body, Instance, Message, Role};

/// Largest term of a message. Fencing tokens take less than 35 bits below the term.
const TERM_MAX: u64 = 1 << 29;
/// Largest index of a message.
const INDEX_MAX: u64 = 1 << 62;

impl Instance {
    /// Why a message is malformed; `None` if it is not.
    pub(super) fn fault_in(&self, message: &Message) -> Option<&'static str> {
        let Message { from, term, body, .. } = message;
        if *from == self.id {
            return Some("sender has this instance's id");
        }
        if *term > TERM_MAX {
            return Some("term is out of range");
        }
        match body {
            Body::Append { prev_index, prev_term, entries, .. } => {
                let mut last = (*prev_index, *prev_term);
                if last.0 > INDEX_MAX {
                    return Some("index is out of range");
                }
                for entry in entries {
                    if entry.index != last.0 + 1 {
                        return Some("entries are not consecutive");
                    }
                    if entry.term < last.1 {
                        return Some("terms of the entries decrease");
                    }
                    last = (entry.index, entry.term);
                }
                (last.1 > *term).then_some("entry is of a later term than its leader")
            }
            Body::Snapshot { meta, .. } if meta.index > INDEX_MAX => Some("index is out of range"),
            Body::Snapshot { meta, .. } if meta.term > *term => {
                Some("snapshot is of a later term than its leader")
            }
            Body::Appended { seq, .. } | Body::Rejected { seq, .. } => {
                let unsent = self.role == Role::Leader && *term == self.term() && *seq > self.seq;
                unsent.then_some("reply to a message that was not sent")
            }
            _ => None,
        }
    }
}
