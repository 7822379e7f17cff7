//! The replicated state machine as the control service sees it.

use std::{
    cell::{Cell, Ref, RefCell},
    rc::Rc,
};

use crate::{protocol::wire::control, state::machine};

/// A replica of the state machine. Cheap to clone; all clones are the same replica.
#[derive(Debug, Clone, Default)]
pub struct Replica {
    inner: Rc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    state: RefCell<machine::State>,
    index: Cell<u64>,
}

impl Replica {
    /// Commits and applies a command.
    ///
    /// `Refusal::Storage` means that the command may or may not be applied later.
    pub async fn propose(
        &self,
        command: machine::Command,
    ) -> Result<machine::Reply, control::Refusal> {
        let index = self.inner.index.get() + 1;
        self.inner.index.set(index);
        Ok(self.inner.state.borrow_mut().apply(index, command))
    }

    /// Returns once this instance is known to have led after the call was made and has applied
    /// everything committed before it: what `state` holds then is current.
    pub async fn barrier(&self) -> Result<(), control::Refusal> {
        Ok(())
    }

    /// The state as applied so far.
    pub fn state(&self) -> Ref<'_, machine::State> {
        self.inner.state.borrow()
    }

    /// The term, if this instance leads.
    pub fn leading(&self) -> Option<u64> {
        Some(1)
    }
}
