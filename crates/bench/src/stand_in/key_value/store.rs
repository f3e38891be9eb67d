//! Contents of the key-value service.

use std::collections::BTreeMap;
use std::ops::Bound;

use super::messages::{
    Base64, Compare, Comparison, Header, KeyValue, Number, Operation, OperationAnswer, PutAnswer,
    PutRequest, RangeAnswer, RangeRequest, TransactionAnswer, TransactionRequest,
};

#[derive(Debug, Clone)]
struct Stored {
    value: Base64,
    mod_revision: i64,
}

/// Keys with their values and revisions. Every change increments the revision.
#[derive(Debug, Clone, Default)]
pub(super) struct Store {
    revision: i64,
    keys: BTreeMap<Base64, Stored>,
    changes: BTreeMap<String, u64>,
}

impl Store {
    /// Returns the revision of the last change.
    pub(super) fn revision(&self) -> i64 {
        self.revision
    }

    /// Returns the number of writes by key.
    pub(super) fn changes(&self) -> BTreeMap<String, u64> {
        self.changes.clone()
    }

    pub(super) fn range(&self, request: &RangeRequest) -> RangeAnswer {
        let kvs = self
            .keys
            .range(bounds(request))
            .map(|(key, stored)| KeyValue {
                key: key.clone(),
                value: stored.value.clone(),
                mod_revision: Number(stored.mod_revision),
            })
            .collect();
        RangeAnswer {
            header: self.header(),
            kvs,
        }
    }

    pub(super) fn put(&mut self, request: PutRequest) -> PutAnswer {
        self.revision += 1;
        let key = String::from_utf8_lossy(&request.key.0).into_owned();
        *self.changes.entry(key).or_default() += 1;
        let stored = Stored {
            value: request.value,
            mod_revision: self.revision,
        };
        self.keys.insert(request.key, stored);
        PutAnswer {
            header: self.header(),
        }
    }

    pub(super) fn transact(&mut self, request: TransactionRequest) -> TransactionAnswer {
        let succeeded = request
            .compare
            .iter()
            .all(|compare| self.is_satisfied(compare));
        let operations = if succeeded {
            request.success
        } else {
            request.failure
        };
        let responses = operations
            .into_iter()
            .map(|operation| self.apply(operation))
            .collect();
        TransactionAnswer {
            header: self.header(),
            succeeded,
            responses,
        }
    }

    fn apply(&mut self, operation: Operation) -> OperationAnswer {
        match operation {
            Operation::Put(put) => OperationAnswer::Put(self.put(put)),
            Operation::Range(range) => OperationAnswer::Range(self.range(&range)),
            Operation::DeleteRange(range) => OperationAnswer::DeleteRange(self.delete(&range)),
        }
    }

    fn delete(&mut self, request: &RangeRequest) -> PutAnswer {
        let keys: Vec<Base64> = self
            .keys
            .range(bounds(request))
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.keys.remove(&key);
        }
        PutAnswer {
            header: self.header(),
        }
    }

    fn is_satisfied(&self, compare: &Compare) -> bool {
        let stored = self.keys.get(&compare.key);
        let revision = stored.map_or(0, |stored| stored.mod_revision);
        match compare.result {
            Comparison::Equal => revision == compare.mod_revision.0,
            Comparison::Greater => revision > compare.mod_revision.0,
            Comparison::Less => revision < compare.mod_revision.0,
        }
    }

    fn header(&self) -> Header {
        Header {
            revision: Number(self.revision),
        }
    }
}

/// Returns the range of keys. A `range_end` of one zero byte means all keys from `key` on; none
/// means `key` alone.
fn bounds(request: &RangeRequest) -> (Bound<Base64>, Bound<Base64>) {
    let start = Bound::Included(request.key.clone());
    let end = match &request.range_end {
        None => Bound::Included(request.key.clone()),
        Some(end) if end.0.is_empty() => Bound::Included(request.key.clone()),
        Some(end) if end.0 == [0] => Bound::Unbounded,
        Some(end) if *end <= request.key => Bound::Included(request.key.clone()),
        Some(end) => Bound::Excluded(end.clone()),
    };
    (start, end)
}
