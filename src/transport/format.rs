//! Encoding of the calls that a server of the system's own protocols receives.

use std::{
    io,
    marker::PhantomData,
    pin::{Pin, pin},
    time::Duration,
};

use bincode::Options;
use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tarpc::{
    ClientMessage, Response,
    tokio_serde::{Deserializer, Serializer, formats::Bincode},
};

/// Longest time until the deadline of a call: a year. Settings allow jobs 49 days, and the timer of
/// `tarpc` at most two years.
const DEADLINE_MAX: Duration = Duration::from_secs(365 * 24 * 3_600);

/// The encoding that clients use, but calls with a deadline after [`DEADLINE_MAX`] are not valid:
/// `tarpc` panics on a deadline that its clock or its timer cannot represent.
#[derive(Debug)]
pub struct Calls<Request, Answer>(PhantomData<fn() -> (Request, Answer)>);

impl<Request, Answer> Default for Calls<Request, Answer> {
    fn default() -> Self {
        Calls(PhantomData)
    }
}

/// Start of a [`ClientMessage`].
#[derive(Deserialize)]
enum Head {
    /// The time until the deadline.
    Request(Duration),
    Cancel,
}

impl<Request, Answer> Deserializer<ClientMessage<Request>> for Calls<Request, Answer>
where
    Request: DeserializeOwned,
{
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, bytes: &BytesMut) -> io::Result<ClientMessage<Request>> {
        let invalid = |e| io::Error::new(io::ErrorKind::InvalidData, e);
        let head = bincode::DefaultOptions::new().allow_trailing_bytes().deserialize(bytes);
        if let Head::Request(left) = head.map_err(invalid)?
            && left > DEADLINE_MAX
        {
            let reason = format!("the deadline is {left:?} ahead");
            return Err(io::Error::new(io::ErrorKind::InvalidData, reason));
        }
        pin!(Bincode::<_, ()>::default()).deserialize(bytes)
    }
}

impl<Request, Answer: Serialize> Serializer<Response<Answer>> for Calls<Request, Answer> {
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, answer: &Response<Answer>) -> io::Result<Bytes> {
        pin!(Bincode::<(), _>::default()).serialize(answer)
    }
}
