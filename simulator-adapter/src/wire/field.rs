//! Cursors over the fields of a header, a record or an endpoint entry.
//!
//! Both panic beyond the end of their slice. Callers pass slices of a fixed size that is large enough for every layout.
use balancer_core::UpstreamId;

/// Size of an upstream's address and port, in bytes.
pub(super) const UPSTREAM_BYTES: usize = 6;

/// Reads consecutive fields.
pub(super) struct FieldReader<'a> {
    bytes: &'a [u8],
}

impl<'a> FieldReader<'a> {
    pub(super) fn new(bytes: &'a [u8]) -> FieldReader<'a> {
        FieldReader { bytes }
    }

    pub(super) fn skip(&mut self, count: usize) {
        self.bytes = &self.bytes[count..];
    }

    pub(super) fn u8(&mut self) -> u8 {
        let [byte] = self.array();
        byte
    }

    pub(super) fn u16(&mut self) -> u16 {
        u16::from_be_bytes(self.array())
    }

    pub(super) fn u32(&mut self) -> u32 {
        u32::from_be_bytes(self.array())
    }

    pub(super) fn u64(&mut self) -> u64 {
        u64::from_be_bytes(self.array())
    }

    pub(super) fn f64(&mut self) -> f64 {
        f64::from_be_bytes(self.array())
    }

    /// An IPv4 address (4 bytes) and a port (2 bytes), combined into one number.
    pub(super) fn upstream(&mut self) -> UpstreamId {
        let address = u64::from(self.u32());
        let port = u64::from(self.u16());
        UpstreamId((address << 16) | port)
    }

    fn array<const N: usize>(&mut self) -> [u8; N] {
        let mut field = [0; N];
        field.copy_from_slice(&self.bytes[..N]);
        self.bytes = &self.bytes[N..];
        field
    }
}

/// Writes consecutive fields into a slice of zeros. Bytes after the last field stay zero.
pub(super) struct FieldWriter<'a> {
    bytes: &'a mut [u8],
    position: usize,
}

impl<'a> FieldWriter<'a> {
    pub(super) fn new(bytes: &'a mut [u8]) -> FieldWriter<'a> {
        FieldWriter { bytes, position: 0 }
    }

    pub(super) fn u8(&mut self, value: u8) -> &mut Self {
        self.put(&[value])
    }

    pub(super) fn u16(&mut self, value: u16) -> &mut Self {
        self.put(&value.to_be_bytes())
    }

    pub(super) fn u32(&mut self, value: u32) -> &mut Self {
        self.put(&value.to_be_bytes())
    }

    pub(super) fn f64(&mut self, value: f64) -> &mut Self {
        self.put(&value.to_be_bytes())
    }

    /// The lower six bytes of the number: an IPv4 address (4 bytes) and a port (2 bytes).
    pub(super) fn upstream(&mut self, upstream: UpstreamId) -> &mut Self {
        let bytes = upstream.0.to_be_bytes();
        self.put(&bytes[bytes.len() - UPSTREAM_BYTES..])
    }

    fn put(&mut self, field: &[u8]) -> &mut Self {
        let end = self.position + field.len();
        self.bytes[self.position..end].copy_from_slice(field);
        self.position = end;
        self
    }
}
