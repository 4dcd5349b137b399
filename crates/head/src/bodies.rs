//! Room for the bodies of requests over 64 KiB, all together. A body is kept whole while its request is open,
//! since a write that never ran may go out again; what it takes is given back when the request ends.

use std::cell::Cell;
use std::rc::Rc;

/// The bytes that large bodies may take up, all together.
#[derive(Clone, Debug)]
pub struct BodyRoom {
    left: Rc<Cell<usize>>,
    all: usize,
}

impl BodyRoom {
    /// Room for so many bytes.
    pub fn new(all: usize) -> BodyRoom {
        BodyRoom { left: Rc::new(Cell::new(all)), all }
    }

    /// The most that one body can ever take.
    pub fn all(&self) -> usize {
        self.all
    }

    /// Takes so many bytes; `None` where they are not free now.
    pub fn take(&self, bytes: usize) -> Option<BodyTaken> {
        let left = self.left.get().checked_sub(bytes)?;
        self.left.set(left);
        Some(BodyTaken { left: Rc::clone(&self.left), bytes })
    }
}

/// What one body has taken, until it is dropped.
#[derive(Debug)]
pub struct BodyTaken {
    left: Rc<Cell<usize>>,
    bytes: usize,
}

impl BodyTaken {
    /// The bytes taken.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Takes more from the same room; false where they are not free.
    pub fn grow(&mut self, more: usize) -> bool {
        match self.left.get().checked_sub(more) {
            Some(left) => {
                self.left.set(left);
                self.bytes += more;
                true
            }
            None => false,
        }
    }
}

impl Drop for BodyTaken {
    fn drop(&mut self) {
        self.left.set(self.left.get() + self.bytes);
    }
}

#[cfg(test)]
mod tests {
    use super::BodyRoom;

    #[test]
    fn what_a_body_takes_comes_back_when_it_is_dropped() {
        let room = BodyRoom::new(100);
        let mut first = room.take(60).expect("room");
        assert!(room.take(50).is_none());
        assert!(first.grow(40));
        assert!(!first.grow(1));
        assert_eq!(first.bytes(), 100);
        drop(first);
        assert!(room.take(100).is_some());
    }
}
