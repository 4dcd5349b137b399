//! The outcomes of recent changes, which are remembered for retries.
//!
//! Every voter remembers the outcomes of the same [`MAX_REMEMBERED_OUTCOMES`] changes: a voter that forgot a
//! change earlier than the others would apply its retry, and the others would not. A retry is recognized by
//! the digest of the change. The change itself is not needed for that, so only the latest changes are kept
//! whole, within a limit in bytes.
//!
//! Programs of earlier versions compare a retry with the whole change. In stored outcomes, a change that is
//! not kept whole is represented by a placeholder, which contains the digest. A program of an earlier version
//! does not apply such a retry either, but answers that its key was used for another change.

use crate::change::{Change, ChangeOutcome, Command};
use crate::change_batch::Encoded;
use crate::heap_size::{HeapSize, allocation_bytes, node_bytes};
use crate::record::EncodeError;
use serde::de::{MapAccess, Visitor};
use serde::ser::SerializeMap as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest as _, Sha256};
use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::sync::Arc;

/// Maximum number of outcomes that are remembered for retried changes; the oldest are dropped first.
pub const MAX_REMEMBERED_OUTCOMES: usize = 4096;
/// Bytes of the latest changes that are kept whole, unless the owner of the state sets another limit.
const DEFAULT_WHOLE_CHANGE_BYTES: usize = 1 << 20;
/// Beginning of the tenant's name in a placeholder. No tenant has such a name, because names contain no
/// control characters.
const PLACEHOLDER_PREFIX: &str = "\0sha256:";
/// Memory of a reference-counted allocation besides its bytes.
const REFERENCE_COUNT_BYTES: usize = 16;

/// The digest by which a retry is compared with the first change of its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ChangeDigest([u8; 32]);

impl ChangeDigest {
    fn of(encoded: &[u8]) -> ChangeDigest {
        ChangeDigest(Sha256::digest(encoded).into())
    }

    /// The change that represents a change of this digest in stored outcomes.
    fn placeholder(self, key: &str) -> Change {
        let digits: String = self.0.iter().map(|byte| format!("{byte:02x}")).collect();
        let tenant = format!("{PLACEHOLDER_PREFIX}{digits}");
        Change { key: key.to_owned(), expected_version: None, command: Command::DeleteTenant { tenant } }
    }

    /// The digest in a placeholder; `None` if the change is not a placeholder.
    fn of_placeholder(change: &Change) -> Option<ChangeDigest> {
        let Command::DeleteTenant { tenant } = &change.command else { return None };
        let digits = tenant.strip_prefix(PLACEHOLDER_PREFIX)?.as_bytes();
        let mut digest = [0; 32];
        if digits.len() != 2 * digest.len() {
            return None;
        }
        for (byte, pair) in digest.iter_mut().zip(digits.chunks(2)) {
            *byte = u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok()?;
        }
        Some(ChangeDigest(digest))
    }
}

/// A change, encoded for the comparison with the remembered ones.
pub(crate) struct EncodedChange {
    bytes: Vec<u8>,
    digest: ChangeDigest,
}

impl EncodedChange {
    pub(crate) fn new(change: &Change) -> Result<EncodedChange, EncodeError> {
        let bytes = postcard::to_extend(change, Vec::new())?;
        Ok(EncodedChange { digest: ChangeDigest::of(&bytes), bytes })
    }
}

/// A remembered change with its outcome.
#[derive(Clone, Debug)]
struct Remembered {
    digest: ChangeDigest,
    /// The encoded change, if it is kept whole.
    whole: Option<Arc<[u8]>>,
    outcome: ChangeOutcome,
}

/// Whether a change is kept whole does not matter: it belongs to one head and decides nothing.
impl PartialEq for Remembered {
    fn eq(&self, other: &Remembered) -> bool {
        (self.digest, &self.outcome) == (other.digest, &other.outcome)
    }
}

impl Remembered {
    /// What is remembered of a stored change.
    fn of_stored<E: serde::de::Error>(change: &Change, outcome: ChangeOutcome) -> Result<Remembered, E> {
        if let Some(digest) = ChangeDigest::of_placeholder(change) {
            return Ok(Remembered { digest, whole: None, outcome });
        }
        let EncodedChange { bytes, digest } = EncodedChange::new(change).map_err(E::custom)?;
        Ok(Remembered { digest, whole: Some(bytes.into()), outcome })
    }

    fn whole_bytes(&self) -> usize {
        self.whole.as_ref().map_or(0, |whole| whole.len())
    }
}

/// The outcomes of the latest changes, by idempotency key.
#[derive(Clone, Debug)]
pub struct RememberedOutcomes {
    by_key: BTreeMap<Arc<str>, Remembered>,
    /// The keys, the oldest first.
    order: VecDeque<Arc<str>>,
    /// Position in `order` before which no change is kept whole.
    first_whole: usize,
    /// Bytes of the changes that are kept whole.
    whole_bytes: usize,
    max_whole_bytes: usize,
}

impl Default for RememberedOutcomes {
    fn default() -> RememberedOutcomes {
        RememberedOutcomes {
            by_key: BTreeMap::new(),
            order: VecDeque::new(),
            first_whole: 0,
            whole_bytes: 0,
            max_whole_bytes: DEFAULT_WHOLE_CHANGE_BYTES,
        }
    }
}

impl PartialEq for RememberedOutcomes {
    fn eq(&self, other: &RememberedOutcomes) -> bool {
        self.by_key == other.by_key && self.order == other.order
    }
}

impl Eq for RememberedOutcomes {}

impl RememberedOutcomes {
    /// The outcome for a change whose key is remembered: that of the first change, or
    /// [`ChangeOutcome::Reused`] if the first change was another one.
    pub(crate) fn of_retry(&self, key: &str, change: &EncodedChange) -> Option<ChangeOutcome> {
        let first = self.by_key.get(key)?;
        Some(if first.digest == change.digest { first.outcome.clone() } else { ChangeOutcome::Reused })
    }

    /// Remembers the outcome of a change, and forgets the oldest one over the limit.
    pub(crate) fn remember(&mut self, key: &str, change: EncodedChange, outcome: ChangeOutcome) {
        let key: Arc<str> = key.into();
        self.whole_bytes += change.bytes.len();
        let remembered = Remembered { digest: change.digest, whole: Some(change.bytes.into()), outcome };
        self.order.push_back(Arc::clone(&key));
        self.by_key.insert(key, remembered);
        while self.order.len() > MAX_REMEMBERED_OUTCOMES {
            self.forget_oldest();
        }
        self.drop_whole_changes();
    }

    fn forget_oldest(&mut self) {
        let Some(key) = self.order.pop_front() else { return };
        self.first_whole = self.first_whole.saturating_sub(1);
        if let Some(forgotten) = self.by_key.remove(&key) {
            self.whole_bytes -= forgotten.whole_bytes();
        }
    }

    /// Keeps only the digests of the oldest changes, until the whole ones are within the limit.
    fn drop_whole_changes(&mut self) {
        while self.whole_bytes > self.max_whole_bytes {
            let Some(key) = self.order.get(self.first_whole) else { return };
            if let Some(remembered) = self.by_key.get_mut(key) {
                self.whole_bytes -= remembered.whole_bytes();
                remembered.whole = None;
            }
            self.first_whole += 1;
        }
    }

    /// Sets the limit on the bytes of the changes that are kept whole.
    pub fn set_max_whole_bytes(&mut self, max_whole_bytes: usize) {
        self.max_whole_bytes = max_whole_bytes;
        self.drop_whole_changes();
    }

    /// The keys of the remembered outcomes, the oldest first.
    pub fn keys(&self) -> impl ExactSizeIterator<Item = &str> {
        self.order.iter().map(AsRef::as_ref)
    }

    /// Whether an outcome is remembered for a key.
    pub fn contains(&self, key: &str) -> bool {
        self.by_key.contains_key(key)
    }

    /// Number of remembered outcomes.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Whether no outcome is remembered.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// Bytes of the changes that are kept whole.
    pub fn whole_bytes(&self) -> usize {
        self.whole_bytes
    }
}

impl HeapSize for RememberedOutcomes {
    fn heap_bytes(&self) -> usize {
        let owned = self.by_key.iter().map(|(key, remembered)| {
            let whole = remembered.whole.as_ref();
            allocation_bytes(REFERENCE_COUNT_BYTES + key.len())
                + whole.map_or(0, |whole| allocation_bytes(REFERENCE_COUNT_BYTES + whole.len()))
                + remembered.outcome.heap_bytes()
        });
        node_bytes(self.by_key.len(), size_of::<(Arc<str>, Remembered)>())
            + allocation_bytes(self.order.capacity() * size_of::<Arc<str>>())
            + owned.sum::<usize>()
    }
}

/// The outcomes by key, as they are stored: each with its change or the change's placeholder.
struct StoredOutcomes<'a>(&'a RememberedOutcomes);

impl Serialize for StoredOutcomes<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let by_key = &self.0.by_key;
        let mut stored = serializer.serialize_map(Some(by_key.len()))?;
        for (key, Remembered { digest, whole, outcome }) in by_key {
            match whole {
                Some(whole) => stored.serialize_entry(&**key, &(Encoded(whole), outcome))?,
                None => stored.serialize_entry(&**key, &(digest.placeholder(key), outcome))?,
            }
        }
        stored.end()
    }
}

impl Serialize for RememberedOutcomes {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let keys: Vec<&str> = self.keys().collect();
        (StoredOutcomes(self), keys).serialize(serializer)
    }
}

/// The outcomes by key, read without collecting the decoded changes.
struct OutcomesByKey(BTreeMap<Arc<str>, Remembered>);

impl<'de> Deserialize<'de> for OutcomesByKey {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<OutcomesByKey, D::Error> {
        deserializer.deserialize_map(OutcomesVisitor)
    }
}

struct OutcomesVisitor;

impl<'de> Visitor<'de> for OutcomesVisitor {
    type Value = OutcomesByKey;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("changes and their outcomes by key")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut stored: A) -> Result<OutcomesByKey, A::Error> {
        let mut by_key = BTreeMap::new();
        while let Some((key, (change, outcome))) = stored.next_entry::<String, (Change, ChangeOutcome)>()? {
            by_key.insert(key.into(), Remembered::of_stored(&change, outcome)?);
        }
        Ok(OutcomesByKey(by_key))
    }
}

impl<'de> Deserialize<'de> for RememberedOutcomes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<RememberedOutcomes, D::Error> {
        let (OutcomesByKey(by_key), keys) = <(OutcomesByKey, Vec<String>)>::deserialize(deserializer)?;
        let mut order = VecDeque::with_capacity(keys.len());
        for key in keys {
            let (key, _) = by_key.get_key_value(key.as_str()).ok_or_else(|| {
                serde::de::Error::custom("the order of the outcomes names a key that has none")
            })?;
            order.push_back(Arc::clone(key));
        }
        let whole_bytes = by_key.values().map(Remembered::whole_bytes).sum();
        let mut outcomes = RememberedOutcomes { by_key, order, whole_bytes, ..RememberedOutcomes::default() };
        outcomes.drop_whole_changes();
        Ok(outcomes)
    }
}
