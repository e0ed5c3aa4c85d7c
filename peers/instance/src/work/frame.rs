//! Length-prefixed frames of an answer.

use bytes::{Bytes, BytesMut};
use derive_more::Display;
use pimentotide_model::{Failure, LoadReport};
use serde::{Deserialize, Serialize};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Largest frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// Part of an answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// The agent has not forwarded the request and will not do so.
    Refused {
        /// Reason for the refusal.
        failure: Failure,
        /// Load of the upstream.
        report: LoadReport,
    },
    /// Keep-alive while the upstream has not answered yet.
    Alive,
    /// Head of the upstream's answer.
    Head {
        /// HTTP status.
        status: u16,
        /// Headers.
        headers: Vec<(String, String)>,
        /// Load of the upstream.
        report: LoadReport,
    },
    /// Part of the body.
    Piece {
        /// Number of pieces before it in the whole answer.
        position: u64,
        /// Bytes: one event of a stream, or a part of a plain body.
        data: Bytes,
    },
    /// The answer is complete.
    End {
        /// Number of pieces in the whole answer.
        pieces: u64,
        /// Load of the upstream.
        report: LoadReport,
    },
    /// The answer was interrupted.
    Failed {
        /// Reason, and whether the request ran.
        failure: Failure,
    },
}

/// Reason why a frame cannot be encoded or decoded.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum FrameError {
    /// Longer than [`MAX_FRAME_BYTES`].
    #[display("frame longer than {MAX_FRAME_BYTES} bytes")]
    TooLong,
    /// Not an encoded frame.
    #[display("malformed frame: {_0}")]
    Malformed(String),
}

impl std::error::Error for FrameError {}

impl Frame {
    /// Encodes the frame with its length in front.
    ///
    /// # Errors
    ///
    /// Fails if the frame is too long.
    pub fn encode(&self) -> Result<Bytes, FrameError> {
        let body = postcard::to_stdvec(self).map_err(|e| FrameError::Malformed(e.to_string()))?;
        let mut out = BytesMut::with_capacity(body.len() + 4);
        codec()
            .encode(Bytes::from(body), &mut out)
            .map_err(|_| FrameError::TooLong)?;
        Ok(out.freeze())
    }
}

/// Incremental decoder of frames.
#[derive(Debug)]
pub struct FrameDecoder {
    codec: LengthDelimitedCodec,
    buffer: BytesMut,
}

impl FrameDecoder {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete frame; `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// Fails if a frame is too long or malformed.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, FrameError> {
        let body = self
            .codec
            .decode(&mut self.buffer)
            .map_err(|_| FrameError::TooLong)?;
        body.map(|b| postcard::from_bytes(&b).map_err(|e| FrameError::Malformed(e.to_string())))
            .transpose()
    }
}

impl Default for FrameDecoder {
    fn default() -> Self {
        Self {
            codec: codec(),
            buffer: BytesMut::new(),
        }
    }
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}
