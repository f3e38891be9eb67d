//! Concurrency limits per class of work. A request is admitted or refused immediately; nothing is
//! queued.

mod window;

use std::collections::BTreeMap;
use std::time::Duration;

pub use window::SlidingCounter;

use crate::bundle::ClassSpec;

/// Length of the window over which completions and refusals are counted.
const RATE_WINDOW: Duration = Duration::from_secs(10);

/// Minimum retry hint; `Retry-After` has a resolution of one second.
pub const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Maximum retry hint.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Retry hint if no request completed within the window.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Reason why a request was not admitted.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum AdmissionError {
    /// The bundle in force does not define the class.
    #[error("unknown class {class:?}")]
    UnknownClass {
        /// Requested class.
        class: String,
    },
    /// The class is at its limit, or the total is used up or reserved for more important classes.
    #[error("class {class:?} is at its limit")]
    Full {
        /// Requested class.
        class: String,
        /// Time after which a slot is likely to be free.
        retry_after: Duration,
    },
}

/// Number of requests in flight by class, checked against the limits of the bundle in force.
///
/// Invariant: a class never uses slots that more important classes (smaller priority) may still
/// claim. Each class can therefore reach its limit as long as the total covers its limit and those
/// of all more important classes.
#[derive(Debug)]
pub struct Admission {
    total_limit: u32,
    classes: BTreeMap<String, Class>,
}

#[derive(Debug)]
struct Class {
    /// `None` if the class was removed from the bundle while its requests are in flight.
    rule: Option<ClassRule>,
    in_flight: u32,
    completions: SlidingCounter,
    refusals: SlidingCounter,
}

#[derive(Debug, Clone, Copy)]
struct ClassRule {
    priority: u32,
    limit: u32,
}

impl Class {
    fn new() -> Self {
        Self {
            rule: None,
            in_flight: 0,
            completions: SlidingCounter::new(RATE_WINDOW),
            refusals: SlidingCounter::new(RATE_WINDOW),
        }
    }

    /// Returns the number of further requests that the class limit allows.
    fn unused_limit(&self) -> u32 {
        let limit = self.rule.map_or(0, |rule| rule.limit);
        limit.saturating_sub(self.in_flight)
    }

    /// Counts a refusal and returns its retry hint: the time after which all recently refused
    /// requests would have a slot at the measured completion rate.
    fn refuse(&mut self, now: Duration) -> Duration {
        self.refusals.add(now);
        let rate = self.completions.rate(now);
        if rate <= 0.0 {
            return DEFAULT_RETRY_AFTER;
        }
        let seconds = self.refusals.count(now) as f64 / rate;
        let max_seconds = MAX_RETRY_AFTER.as_secs_f64();
        Duration::from_secs_f64(seconds.min(max_seconds)).max(MIN_RETRY_AFTER)
    }
}

impl Admission {
    /// Creates a limiter of `total_limit` requests across all classes, without any class.
    pub fn new(total_limit: u32) -> Self {
        Self {
            total_limit,
            classes: BTreeMap::new(),
        }
    }

    /// Applies the classes of a bundle; requests in flight stay counted.
    pub fn configure(&mut self, classes: &[ClassSpec]) {
        for class in self.classes.values_mut() {
            class.rule = None;
        }
        for spec in classes {
            let class = self.classes.entry(spec.name.clone());
            class.or_insert_with(Class::new).rule = Some(ClassRule {
                priority: spec.priority,
                limit: spec.limit,
            });
        }
        self.remove_dropped_classes();
    }

    /// Admits one request of a class. Every admitted request must be released with
    /// [`Self::finish`].
    ///
    /// # Errors
    /// [`AdmissionError`] if the request is refused; it is not counted as in flight.
    pub fn admit(&mut self, name: &str, now: Duration) -> Result<(), AdmissionError> {
        let available = self.available(name);
        let class = self
            .classes
            .get_mut(name)
            .filter(|class| class.rule.is_some());
        let Some(class) = class else {
            return Err(AdmissionError::UnknownClass {
                class: name.to_owned(),
            });
        };
        if available == 0 || class.unused_limit() == 0 {
            return Err(AdmissionError::Full {
                class: name.to_owned(),
                retry_after: class.refuse(now),
            });
        }
        class.in_flight += 1;
        Ok(())
    }

    /// Releases the slot of an admitted request.
    pub fn finish(&mut self, name: &str, now: Duration) {
        if let Some(class) = self.classes.get_mut(name) {
            class.in_flight = class.in_flight.saturating_sub(1);
            class.completions.add(now);
        }
        self.remove_dropped_classes();
    }

    /// Returns the number of requests of a class in flight.
    pub fn in_flight(&self, name: &str) -> u32 {
        self.classes.get(name).map_or(0, |class| class.in_flight)
    }

    /// Returns the number of free slots that are not reserved for more important classes.
    fn available(&self, name: &str) -> u32 {
        let Some(rule) = self.classes.get(name).and_then(|class| class.rule) else {
            return 0;
        };
        let used: u32 = self.classes.values().map(|class| class.in_flight).sum();
        let reserved: u32 = self
            .classes
            .values()
            .filter(|class| {
                class
                    .rule
                    .is_some_and(|other| other.priority < rule.priority)
            })
            .map(Class::unused_limit)
            .fold(0, u32::saturating_add);
        self.total_limit
            .saturating_sub(used.saturating_add(reserved))
    }

    fn remove_dropped_classes(&mut self) {
        self.classes
            .retain(|_, class| class.rule.is_some() || class.in_flight > 0);
    }
}
