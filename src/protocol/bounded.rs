//! Decoding of lists of limited length. Without the limit, a short message could name more entries than
//! there is memory for.

use std::{fmt, marker::PhantomData};

use serde::{
    Deserialize, Deserializer,
    de::{Error, SeqAccess, Visitor},
};

/// Decodes a list of at most `MAX` entries, for `#[serde(deserialize_with)]`.
pub fn list<'de, D, T, const MAX: usize>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    deserializer.deserialize_seq(List::<T, MAX>(PhantomData))
}

struct List<T, const MAX: usize>(PhantomData<T>);

impl<'de, T: Deserialize<'de>, const MAX: usize> Visitor<'de> for List<T, MAX> {
    type Value = Vec<T>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a list of at most {MAX} entries")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut entries: A) -> Result<Vec<T>, A::Error> {
        let mut list = Vec::new();
        while let Some(entry) = entries.next_element()? {
            if list.len() == MAX {
                return Err(A::Error::custom(format_args!("more than {MAX} entries")));
            }
            list.push(entry);
        }
        Ok(list)
    }
}
