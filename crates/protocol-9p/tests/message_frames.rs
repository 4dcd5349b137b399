//! Compares each message's encoding with bytes written by hand from the protocol's manual, in both
//! directions.

use bytes::Bytes;
use sedgerun_protocol_9p::*;

const TAG: u16 = 0x0102;

fn bytes_of(hex: &str) -> Vec<u8> {
    let digits: Vec<u8> = hex.bytes().filter(|byte| !byte.is_ascii_whitespace()).collect();
    let digit = |byte: u8| (byte as char).to_digit(16).expect("a digit") as u8;
    digits.chunks(2).map(|pair| digit(pair[0]) * 16 + digit(pair[1])).collect()
}

fn qid() -> Qid {
    Qid { kind: QID_DIRECTORY, version: 0x0a0b_0c0d, path: 0x1112_1314_1516_1718 }
}

/// Every message, the number of its type, and the fields of its frame in hexadecimal.
fn message_encodings() -> Vec<(Message, u8, &'static str)> {
    let (fid, newfid, afid) = (0x2122_2324, 0x3132_3334, NO_FID);
    let text = |text: &str| text.to_owned();
    let data = || Bytes::from_static(b"data");
    let offset = 0x4142_4344_4546_4748;
    vec![
        (Message::Tversion { msize: 65_560, version: text(VERSION) }, 100, "18000100 0600 395032303030"),
        (Message::Rversion { msize: 8192, version: text(VERSION) }, 101, "00200000 0600 395032303030"),
        (Message::Tauth { afid: 7, uname: text("ann"), aname: text("") }, 102, "07000000 0300 616e6e 0000"),
        (
            Message::Tattach { fid, afid, uname: text("ann"), aname: text("é") },
            104,
            "24232221 ffffffff 0300 616e6e 0200 c3a9",
        ),
        (Message::Rattach { qid: qid() }, 105, "80 0d0c0b0a 1817161514131211"),
        (Message::Rerror { ename: text("no") }, 107, "0200 6e6f"),
        (Message::Tflush { oldtag: 0x0506 }, 108, "0605"),
        (Message::Rflush, 109, ""),
        (
            Message::Twalk { fid, newfid, names: vec![text("a"), text("bc")] },
            110,
            "24232221 34333231 0200 0100 61 0200 6263",
        ),
        (
            Message::Rwalk { qids: vec![qid(), Qid::default()] },
            111,
            "0200 80 0d0c0b0a 1817161514131211 00 00000000 0000000000000000",
        ),
        (Message::Topen { fid, mode: MODE_TRUNCATE | MODE_WRITE }, 112, "24232221 11"),
        (Message::Ropen { qid: qid(), iounit: 9 }, 113, "80 0d0c0b0a 1817161514131211 09000000"),
        (
            Message::Tcreate { fid, name: text("n"), perm: 0o644, mode: 2 },
            114,
            "24232221 0100 6e a4010000 02",
        ),
        (Message::Rcreate { qid: qid(), iounit: 0 }, 115, "80 0d0c0b0a 1817161514131211 00000000"),
        (Message::Tread { fid, offset, count: 512 }, 116, "24232221 4847464544434241 00020000"),
        (Message::Rread { data: data() }, 117, "04000000 64617461"),
        (Message::Twrite { fid, offset, data: data() }, 118, "24232221 4847464544434241 04000000 64617461"),
        (Message::Rwrite { count: 4 }, 119, "04000000"),
        (Message::Tclunk { fid }, 120, "24232221"),
        (Message::Rclunk, 121, ""),
        (Message::Tremove { fid }, 122, "24232221"),
        (Message::Rremove, 123, ""),
        (Message::Tstat { fid }, 124, "24232221"),
        (Message::Rstat { stat: data() }, 125, "0400 64617461"),
        (Message::Twstat { fid, stat: data() }, 126, "24232221 0400 64617461"),
        (Message::Rwstat, 127, ""),
    ]
}

/// A frame without its length field.
fn frame(message_type: u8, fields: &str) -> Vec<u8> {
    [&[message_type][..], &TAG.to_le_bytes(), &bytes_of(fields)].concat()
}

#[test]
fn each_message_is_encoded_and_decoded_as_the_manual_specifies() {
    for (message, message_type, fields) in message_encodings() {
        let frame = frame(message_type, fields);
        let encoded = message.encode(TAG);
        assert_eq!(encoded[..4], (frame.len() as u32 + 4).to_le_bytes(), "{message:?}");
        assert_eq!(encoded[4..], frame, "{message:?}");
        assert_eq!(Message::decode(&frame), Ok((TAG, message)));
        assert_eq!(peek_type_and_tag(&frame), Ok((message_type, TAG)));
    }
}

#[test]
fn a_truncated_frame_or_one_with_trailing_bytes_is_malformed() {
    for (message, message_type, fields) in message_encodings() {
        let complete = frame(message_type, fields);
        for length in 0..complete.len() {
            assert_eq!(
                Message::decode(&complete[..length]),
                Err(MalformedMessage),
                "{message:?} truncated to {length} bytes"
            );
        }
        let with_trailing_byte = [&complete[..], &[0]].concat();
        assert_eq!(
            Message::decode(&with_trailing_byte),
            Err(MalformedMessage),
            "{message:?} with a trailing byte"
        );
    }
}

#[test]
fn unknown_types_strings_that_are_not_utf_8_and_long_walks_are_malformed() {
    for message_type in (0..100).chain([103, 106]).chain(128..=255) {
        assert_eq!(Message::decode(&frame(message_type, "")), Err(MalformedMessage), "type {message_type}");
    }
    assert_eq!(Message::decode(&frame(107, "0100 ff")), Err(MalformedMessage));
    let names = "0000 ".repeat(MAX_WALK_NAMES);
    assert!(Message::decode(&frame(110, &format!("24232221 34333231 1000 {names}"))).is_ok());
    assert_eq!(
        Message::decode(&frame(110, &format!("24232221 34333231 1100 {names} 0000"))),
        Err(MalformedMessage)
    );
    assert_eq!(MalformedMessage.to_string(), "malformed 9P message");
}

#[test]
fn a_frame_length_is_at_least_the_header_and_at_most_the_negotiated_size() {
    for (length, expected) in [(0, None), (6, None), (7, Some(7)), (8192, Some(8192)), (8193, None)] {
        assert_eq!(frame_length(u32::to_le_bytes(length), 8192).ok(), expected, "{length}");
    }
}

#[test]
fn strings_and_stats_over_the_protocols_limit_are_truncated() {
    // A two-byte character is not split.
    let ename = format!("a{}", "é".repeat(40_000));
    let encoded = Message::Rerror { ename }.encode(TAG);
    assert_eq!(encoded[7..9], u16::to_le_bytes(65_535));
    assert_eq!(encoded.len(), 9 + 65_535);
    let ename = "é".repeat(40_000);
    let encoded = Message::Rerror { ename }.encode(TAG);
    assert_eq!(encoded[7..9], u16::to_le_bytes(65_534));
    let encoded = Message::Rstat { stat: Bytes::from(vec![1; 70_000]) }.encode(TAG);
    assert_eq!((encoded[7..9].to_vec(), encoded.len()), (vec![0xff, 0xff], 9 + 65_535));
}

#[test]
fn the_name_of_a_directory_entry_follows_its_fixed_fields() {
    let entry = [&[0; 41][..], &[3, 0], b"abc", &[0; 6]].concat();
    assert_eq!(stat_name(&entry), Ok("abc".to_owned()));
    assert_eq!(stat_name(&entry[..43]), Err(MalformedMessage));
}
