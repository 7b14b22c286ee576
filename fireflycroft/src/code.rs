//! Numbered result codes, their classes and their meaning for callers.
//!
//! The thousands digit is the class: 1 concerns operators and settings, 2 was not run, 3 ran, 4 is
//! unknown. `docs/RESULT-CODES.md` lists them all.

/// What a code says about the execution of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Class {
    /// Concerns operators or settings, not a request.
    Operator,
    /// The request was not run and will not be.
    NotRun,
    /// The request ran, wholly or in part.
    Ran,
    /// Whether the request ran is not known.
    Unknown,
}

macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $status:literal, $phrase:literal;)+) => {
        /// Numbered result of a request or of an operator's action.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum Code {
            $($(#[$doc])* $name = $number,)+
        }

        impl Code {
            /// All codes, ordered by number.
            pub const ALL: &[Self] = &[$(Self::$name,)+];

            /// Returns the HTTP status that carries the code.
            #[must_use]
            pub const fn status(self) -> u16 {
                match self { $(Self::$name => $status,)+ }
            }

            /// Returns a short phrase for people.
            #[must_use]
            pub const fn phrase(self) -> &'static str {
                match self { $(Self::$name => $phrase,)+ }
            }

            /// Returns the code with this number.
            #[must_use]
            pub const fn from_number(number: u32) -> Option<Self> {
                match number { $($number => Some(Self::$name),)+ _ => None }
            }
        }
    };
}

codes! {
    /// A setting is missing or out of range.
    BadSettings = 1001, 500, "a setting is missing or out of range";
    /// The inventory or the rules contain faults.
    BadConfig = 1002, 422, "the inventory or the rules hold faults";
    /// Another operator changed the configuration first.
    ConfigConflict = 1003, 409, "the configuration was changed by another operator";
    /// The platform did not answer an operator's action.
    PlatformUnavailable = 1004, 503, "the platform did not answer";
    /// An order came before the agent knew the current fencing number.
    OrderTooEarly = 1005, 503, "the fencing number in force is not known yet";
    /// An order had a fencing number lower than one seen before.
    OrderFenced = 1006, 409, "the order has an old fencing number";
    /// The upstream is busy with another order or with generations.
    OrderBusy = 1007, 503, "the upstream is busy";
    /// The upstream did not carry out the order.
    OrderFailed = 1008, 502, "the upstream did not carry out the order";
    /// The upstream carried out the order.
    OrderDone = 1009, 200, "the order is carried out";
    /// A message between processes had no valid seal.
    BadSeal = 1101, 403, "a message had no valid seal";
    /// A message between processes was too long.
    MessageTooLong = 1102, 413, "a message was too long";
    /// A message between processes could not be read.
    MessageMalformed = 1103, 400, "a message could not be read";
    /// The body is not the JSON required by the interface.
    BadRequest = 2001, 400, "the request could not be read";
    /// The body is over the size limit.
    BodyTooLarge = 2002, 413, "the body is too large";
    /// The headers are over the size limit.
    HeadersTooLarge = 2003, 431, "the headers are too large";
    /// The key is missing, or no workspace holds it.
    KeyRefused = 2004, 401, "the key is missing or unknown";
    /// The brand of the workspace may not use that model.
    ModelUnknown = 2005, 404, "the model is unknown to this brand";
    /// No plain service has this name.
    ServiceUnknown = 2006, 404, "the service is unknown";
    /// A request that may run only once lacks `Idempotency-Key`.
    IdempotencyKeyRequired = 2007, 400, "this request needs an Idempotency-Key";
    /// The key was used before for another body.
    IdempotencyKeyReused = 2008, 422, "the Idempotency-Key was used for another request";
    /// The workspace has used up its quota.
    QuotaExceeded = 2010, 429, "the quota of the workspace is used up";
    /// All upstreams are too loaded to begin in time.
    Overloaded = 2011, 503, "the upstreams are too loaded";
    /// No upstream serves this at present.
    NoUpstream = 2012, 503, "no upstream serves this at the moment";
    /// The process is stopping.
    Leaving = 2013, 503, "this process is stopping";
    /// The request is quarantined: it crashed upstreams before.
    Quarantined = 2014, 422, "the request crashed upstreams and is quarantined";
    /// The platform could not record the claim of a key.
    ClaimUnavailable = 2015, 503, "the Idempotency-Key could not be recorded";
    /// The process knows no configuration yet.
    NotReady = 2016, 503, "the process is not ready";
    /// The prompt does not fit any upstream.
    PromptTooLong = 2017, 400, "the prompt is too long";
    /// The caller left before the request began.
    Withdrawn = 2018, 499, "the caller left before the request began";
    /// The reservation expired before the start arrived.
    ReservationExpired = 2019, 503, "the reservation lapsed";
    /// The peer has an older configuration.
    ConfigOutdated = 2020, 503, "the configuration is being brought up to date";
    /// No route of the configuration matches.
    RouteUnknown = 2021, 404, "no route leads there";
    /// The upstream version that began the stream to continue is not known.
    OriginUnknown = 2022, 503, "it is not known where the stream began";
    /// A part of the prompt crashes the upstreams that begin an answer on it.
    PartRefused = 2023, 503, "a part of the prompt crashes upstreams";
    /// The process has no memory for the body.
    NoMemory = 2024, 503, "the process has no memory for this request";
    /// The body did not arrive in time.
    BodyTimeout = 2025, 408, "the body did not arrive in time";
    /// The whole answer was delivered.
    Ok = 3000, 200, "ok";
    /// The upstream failed after the request began.
    UpstreamFailed = 3001, 502, "the upstream failed after the request began";
    /// The key ran before and its answer is no longer held.
    AlreadyRan = 3002, 409, "the request ran before; its answer is no longer held";
    /// The caller cancelled or left.
    Cancelled = 3003, 499, "the request was cancelled";
    /// The upstream refused the request with an error of its own.
    UpstreamRefused = 3004, 502, "the upstream answered with an error";
    /// The answer exceeded the buffer.
    AnswerTooLarge = 3005, 502, "the answer outgrew the buffer";
    /// The requested part is no longer held.
    PartGone = 3006, 410, "that part of the answer is no longer held";
    /// Contact with the agent was lost after the start.
    OutcomeUnknown = 4001, 502, "contact was lost; whether the request ran is not known";
    /// The key is held by a request whose outcome is not known.
    ClaimUnresolved = 4002, 409, "the Idempotency-Key belongs to a request of unknown outcome";
    /// The stream to resume is unknown.
    StreamUnknown = 4003, 404, "nothing is known of that stream";
    /// The deadline passed while the request ran or waited.
    DeadlineExceeded = 4004, 504, "the deadline passed";
}

impl Code {
    /// Returns the number of the code.
    #[must_use]
    pub const fn number(self) -> u32 {
        self as u32
    }

    /// Returns the class of the code.
    #[must_use]
    pub const fn class(self) -> Class {
        match self.number() / 1_000 {
            1 => Class::Operator,
            2 => Class::NotRun,
            3 => Class::Ran,
            _ => Class::Unknown,
        }
    }
}
