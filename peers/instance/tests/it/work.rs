//! Decoders of work orders and frames, on valid and on arbitrary bytes.

use bytes::Bytes;
use pimentotide_instance::work::{
    Frame, FrameDecoder, FrameError, MAX_FRAME_BYTES, MAX_ORDER_BYTES, OrderError, WorkOrder,
};
use pimentotide_model::{ErrorKind, Failure, LoadReport};
use proptest::prelude::*;

fn frame() -> impl Strategy<Value = Frame> {
    let bytes = prop::collection::vec(any::<u8>(), 0..200).prop_map(Bytes::from);
    let report = LoadReport::default();
    prop_oneof![
        Just(Frame::Alive),
        any::<String>().prop_map(move |detail| Frame::Refused {
            failure: Failure::new(ErrorKind::Overloaded, detail),
            report,
        }),
        (any::<u16>(), any::<String>()).prop_map(move |(status, value)| Frame::Head {
            status,
            headers: vec![("name".to_owned(), value)],
            report,
        }),
        (any::<u64>(), bytes).prop_map(|(position, data)| Frame::Piece { position, data }),
        any::<u64>().prop_map(move |pieces| Frame::End { pieces, report }),
    ]
}

/// Feeds `bytes` to a decoder in parts of `size` bytes and collects the frames.
fn decode(bytes: &[u8], size: usize) -> Result<Vec<Frame>, FrameError> {
    let mut decoder = FrameDecoder::default();
    let mut frames = Vec::new();
    for part in bytes.chunks(size) {
        decoder.push(part);
        while let Some(frame) = decoder.next_frame()? {
            frames.push(frame);
        }
    }
    Ok(frames)
}

proptest! {
    #[test]
    fn decoded_frames_equal_the_encoded_ones(
        frames in prop::collection::vec(frame(), 0..8),
        size in 1..64_usize,
    ) {
        let encoded: Vec<_> = frames.iter().map(|f| f.encode().expect("small frames")).collect();
        prop_assert_eq!(decode(&encoded.concat(), size), Ok(frames));
    }

    #[test]
    fn frame_decoder_does_not_panic_on_arbitrary_bytes(
        bytes in prop::collection::vec(any::<u8>(), 0..400),
        size in 1..64_usize,
    ) {
        let _ = decode(&bytes, size);
    }

    #[test]
    fn order_decoder_does_not_panic_on_arbitrary_bytes(
        bytes in prop::collection::vec(any::<u8>(), 0..400),
    ) {
        let _ = WorkOrder::decode(&bytes);
    }
}

#[test]
fn frame_with_an_excessive_length_is_rejected_before_its_body_arrives() {
    let length = u32::try_from(MAX_FRAME_BYTES + 1).expect("length fits in u32");
    assert_eq!(decode(&length.to_be_bytes(), 4), Err(FrameError::TooLong));
}

#[test]
fn oversized_order_is_rejected() {
    let bytes = vec![0; MAX_ORDER_BYTES + 1];
    assert_eq!(WorkOrder::decode(&bytes), Err(OrderError::TooLarge));
}
