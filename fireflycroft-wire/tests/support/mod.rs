//! Strategies that generate every message of the core.

use fireflycroft::{
    Chunk, Code, ConfigVersion, ContentId, CrashId, CrashNews, CrashReport, Demand, Digest,
    Envelope, Finish, GenerationId, Incarnation, Load, MemberRecord, MemberState, Message, Name,
    Order, OrderKind, PartId, Peer, Priority, Reach, RefusedSuspect, RequestId, Role, SoundSuspect,
    Standing, Survivor, Suspect, Work,
};
use proptest::collection::vec;
use proptest::option;
use proptest::prelude::*;
use proptest::sample::select;
use proptest::test_runner::{FileFailurePersistence, RngSeed};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

const SEED: u64 = 0x00f1_4ef1_7c40_f700;

/// Returns a configuration with a fixed seed that keeps failures beside the tests.
pub(crate) fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: Some(Box::new(FileFailurePersistence::WithSource("regressions"))),
        ..ProptestConfig::default()
    }
}

pub(crate) fn envelope() -> impl Strategy<Value = Envelope> {
    (peer(), any::<u64>(), option::of(load()), message()).prop_map(|(from, config, load, body)| {
        Envelope {
            from,
            config: ConfigVersion(config),
            load,
            body,
        }
    })
}

pub(crate) fn load() -> impl Strategy<Value = Load> {
    let counts = any::<(u32, u32, u64, u64, u64, u32)>();
    (counts, duration(), duration(), duration(), any::<bool>()).prop_map(
        |(counts, step, wait_interactive, wait_batch, leaving)| Load {
            running: counts.0,
            queued: counts.1,
            used_tokens: counts.2,
            expected_tokens: counts.3,
            capacity_tokens: counts.4,
            step,
            wait_interactive,
            wait_batch,
            leaving,
            max_batch: counts.5,
        },
    )
}

pub(crate) fn peer() -> impl Strategy<Value = Peer> {
    let addr = (any::<IpAddr>(), any::<u16>()).prop_map(|(ip, port)| SocketAddr::new(ip, port));
    let role = select(vec![Role::Entry, Role::Agent]);
    (name(), addr, any::<u64>(), role).prop_map(|(name, addr, incarnation, role)| Peer {
        name,
        addr,
        incarnation: Incarnation(incarnation),
        role,
    })
}

pub(crate) fn message() -> impl Strategy<Value = Message> {
    prop_oneof![reservation_message(), generation_message(), fleet_message()]
}

fn reservation_message() -> impl Strategy<Value = Message> {
    let offer = (request(), any::<u32>(), demand(), duration()).prop_map(
        |(request, attempt, demand, max_wait)| Message::Offer {
            request,
            attempt,
            demand,
            max_wait,
        },
    );
    let queued = (request(), any::<u32>(), duration()).prop_map(|(request, attempt, wait)| {
        Message::Queued {
            request,
            attempt,
            wait,
        }
    });
    let accept = (request(), any::<u32>(), generation(), duration()).prop_map(
        |(request, attempt, generation, hold)| Message::Accept {
            request,
            attempt,
            generation,
            hold,
        },
    );
    let refuse = (request(), any::<u32>(), select(Code::ALL), duration()).prop_map(
        |(request, attempt, code, retry_after)| Message::Refuse {
            request,
            attempt,
            code,
            retry_after,
        },
    );
    let withdraw = (request(), any::<u32>())
        .prop_map(|(request, attempt)| Message::Withdraw { request, attempt });
    let start =
        (request(), generation(), work()).prop_map(|(request, generation, work)| Message::Start {
            request,
            generation,
            work,
        });
    prop_oneof![offer, queued, accept, refuse, withdraw, start]
}

fn generation_message() -> impl Strategy<Value = Message> {
    let attach = (request(), request(), generation(), name(), any::<u64>()).prop_map(
        |(reader, request, generation, workspace, from)| Message::Attach {
            reader,
            request,
            generation,
            workspace,
            from,
        },
    );
    let tokens = (request(), generation(), chunk(), option::of(finish())).prop_map(
        |(reader, generation, chunk, finish)| Message::Tokens {
            reader,
            generation,
            chunk,
            finish,
        },
    );
    let stand = (request(), generation(), standing()).prop_map(|(reader, generation, standing)| {
        Message::Stand {
            reader,
            generation,
            standing,
        }
    });
    let ack = (request(), generation(), any::<u64>()).prop_map(|(reader, generation, next)| {
        Message::Ack {
            reader,
            generation,
            next,
        }
    });
    let detach = (request(), generation())
        .prop_map(|(reader, generation)| Message::Detach { reader, generation });
    let cancel = generation().prop_map(|generation| Message::Cancel { generation });
    prop_oneof![attach, tokens, stand, ack, detach, cancel]
}

fn fleet_message() -> impl Strategy<Value = Message> {
    let probe =
        (any::<u64>(), vec(record(), 0..4), any::<u64>()).prop_map(|(nonce, records, view)| {
            Message::Ping {
                nonce,
                records,
                view,
            }
        });
    let reply =
        (any::<u64>(), vec(record(), 0..4), any::<u64>()).prop_map(|(nonce, records, view)| {
            Message::Pong {
                nonce,
                records,
                view,
            }
        });
    let pull = any::<(u64, u32)>().prop_map(|(have, part)| Message::ConfigPull {
        have: ConfigVersion(have),
        part,
    });
    let order = (any::<(u128, u64, bool)>(), name()).prop_map(|((id, fence, load), model)| {
        Message::Order(Order {
            id: RequestId(id),
            fence,
            kind: if load {
                OrderKind::Load
            } else {
                OrderKind::Unload
            },
            model,
        })
    });
    let answer =
        (any::<(u128, u64)>(), select(Code::ALL.to_vec())).prop_map(|((id, fence), code)| {
            Message::OrderAnswer {
                id: RequestId(id),
                code,
                fence,
            }
        });
    let part = (any::<(u64, u32, u32)>(), digest(), body()).prop_map(|(numbers, digest, data)| {
        Message::ConfigPart {
            version: ConfigVersion(numbers.0),
            part: numbers.1,
            parts: numbers.2,
            digest,
            data,
        }
    });
    let via = any::<u64>()
        .prop_flat_map(|nonce| record().prop_map(move |target| Message::PingVia { nonce, target }));
    let parts = vec(any::<u64>(), 0..66).prop_map(|parts| Message::ViewParts { parts });
    let hashes = (any::<u64>(), vec(any::<u64>(), 0..9), any::<bool>()).prop_map(
        |(parts, hashes, reply)| Message::ViewHashes {
            parts,
            hashes,
            reply,
        },
    );
    let page = vec(record(), 0..4).prop_map(|records| Message::ViewPage { records });
    prop_oneof![
        crash_news(),
        probe,
        reply,
        via,
        parts,
        hashes,
        page,
        pull,
        part,
        order,
        answer
    ]
}

fn record() -> impl Strategy<Value = MemberRecord> {
    let state = select(vec![
        MemberState::Alive,
        MemberState::Suspect,
        MemberState::Leaving,
        MemberState::Dead,
    ]);
    (peer(), name(), state, any::<u64>(), vec(name(), 0..3)).prop_map(
        |(peer, data_centre, state, revision, serves)| MemberRecord {
            peer,
            data_centre,
            state,
            revision,
            serves,
        },
    )
}

fn parts() -> impl Strategy<Value = Vec<PartId>> {
    vec(any::<u64>().prop_map(PartId), 0..4)
}

fn age() -> impl Strategy<Value = Duration> {
    any::<u32>().prop_map(|ms| Duration::from_millis(ms.into()))
}

fn content_of(id: u64) -> Suspect {
    Suspect::Content(ContentId(id))
}

fn content() -> impl Strategy<Value = Suspect> {
    any::<u64>().prop_map(content_of)
}

fn reach() -> impl Strategy<Value = Reach> {
    (age(), any::<u64>()).prop_map(|(lasted, events)| Reach { lasted, events })
}

fn crash_news() -> impl Strategy<Value = Message> {
    let crash = (any::<u64>(), parts(), any::<bool>(), age());
    let crash = (crash, proptest::option::of(any::<u64>()), reach());
    let crash = crash.prop_map(|((ended, parts, begun, age), content, reach)| CrashReport {
        ended: CrashId(ended),
        suspects: parts
            .into_iter()
            .map(Suspect::Part)
            .chain(content.map(content_of))
            .collect(),
        begun,
        reach,
        age,
    });
    let survivor = (content(), any::<u64>(), reach());
    let survivor = survivor.prop_map(|(content, at, reach)| Survivor {
        content,
        at: CrashId(at),
        reach,
    });
    let part = || any::<u64>().prop_map(|id| Suspect::Part(PartId(id)));
    let sound = |suspect| (suspect, age()).prop_map(|(suspect, age)| SoundSuspect { suspect, age });
    let refused = |suspect| {
        (suspect, any::<u32>(), age()).prop_map(|(suspect, crashes, age)| RefusedSuspect {
            suspect,
            crashes,
            age,
        })
    };
    // Parts come before contents on the wire.
    let all = (
        vec(crash, 0..3),
        vec(sound(part().boxed()), 0..3),
        vec(sound(content().boxed()), 0..3),
        vec(refused(part().boxed()), 0..3),
        vec(refused(content().boxed()), 0..3),
        vec(survivor, 0..3),
    );
    all.prop_map(
        |(crashes, sound, sound_contents, refused, refused_contents, survivors)| {
            Message::CrashNews(CrashNews {
                crashes,
                sound: [sound, sound_contents].concat(),
                refused: [refused, refused_contents].concat(),
                survivors,
            })
        },
    )
}

fn demand() -> impl Strategy<Value = Demand> {
    let priority = select(vec![Priority::Batch, Priority::Interactive]);
    let counts = any::<(u32, u32, bool, u8)>();
    (
        name(),
        name(),
        priority,
        counts,
        digest(),
        digest(),
        parts(),
    )
        .prop_map(
            |(workspace, target, priority, counts, prefix, content, shared_parts)| Demand {
                workspace,
                target,
                priority,
                prompt_tokens: counts.0,
                max_tokens: counts.1,
                prefix,
                content,
                shared_parts,
                retryable: counts.2,
                crashes: counts.3,
            },
        )
}

fn work() -> impl Strategy<Value = Work> {
    let generate = body().prop_map(|body| Work::Generate { body });
    let call = (name(), name(), name(), body()).prop_map(|(method, path, content_type, body)| {
        Work::Call {
            method,
            path,
            content_type,
            body,
        }
    });
    prop_oneof![generate, call]
}

fn chunk() -> impl Strategy<Value = Chunk> {
    let tokens = vec(vec(any::<u8>(), 0..8), 0..8);
    (0..u64::MAX - 8, tokens).prop_map(|(offset, tokens)| {
        let mut chunk = Chunk {
            offset,
            ..Chunk::default()
        };
        for token in tokens {
            chunk.push(&token);
        }
        chunk
    })
}

fn finish() -> impl Strategy<Value = Finish> {
    let counts = any::<(u64, u16, u32, u32, u8, Option<u64>)>();
    (counts, select(Code::ALL), name(), name()).prop_map(|(counts, code, reason, content_type)| {
        Finish {
            total: counts.0,
            code,
            reason,
            status: counts.1,
            content_type,
            prompt_tokens: counts.2,
            preemptions: counts.3,
            crashes: counts.4,
            ended: counts.5.map(CrashId),
        }
    })
}

fn standing() -> impl Strategy<Value = Standing> {
    select(vec![
        Standing::Reserved,
        Standing::NeverStarted,
        Standing::Unknown,
        Standing::PartGone,
        Standing::Crowded,
    ])
}

fn duration() -> impl Strategy<Value = Duration> {
    any::<u64>().prop_map(Duration::from_micros)
}

fn request() -> impl Strategy<Value = RequestId> {
    any::<u128>().prop_map(RequestId)
}

fn digest() -> impl Strategy<Value = Digest> {
    any::<u128>().prop_map(Digest)
}

fn generation() -> impl Strategy<Value = GenerationId> {
    any::<(u64, u64)>().prop_map(|(incarnation, serial)| GenerationId {
        incarnation: Incarnation(incarnation),
        serial,
    })
}

fn name() -> impl Strategy<Value = Name> {
    "\\PC{0,12}".prop_map(Name::from)
}

fn body() -> impl Strategy<Value = Arc<[u8]>> {
    vec(any::<u8>(), 0..64).prop_map(Arc::from)
}
