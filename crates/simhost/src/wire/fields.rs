//! Little-endian fields of a record, by their offset.
use super::error::RecordError;
use super::LOAD_REPORT_VALUES;

/// Counts are sent as floats below this value.
const SMALL_INTEGER_LIMIT: f32 = 65536.0;

/// The bytes of a header, a record or a list entry.
#[derive(Clone, Copy)]
pub(crate) struct Fields<'a>(pub(crate) &'a [u8]);

impl<'a> Fields<'a> {
    pub(crate) fn u8(self, offset: usize) -> u8 {
        self.0[offset]
    }

    pub(crate) fn u16(self, offset: usize) -> u16 {
        u16::from_le_bytes([self.0[offset], self.0[offset + 1]])
    }

    pub(crate) fn u32(self, offset: usize) -> u32 {
        let bytes = &self.0[offset..offset + 4];
        u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
    }

    pub(crate) fn u64(self, offset: usize) -> u64 {
        u64::from(self.u32(offset)) | u64::from(self.u32(offset + 4)) << 32
    }

    pub(crate) fn f32(self, offset: usize) -> f32 {
        f32::from_bits(self.u32(offset))
    }

    /// A count, which is sent as a float and rounded.
    pub(crate) fn small_integer(self, offset: usize) -> Result<u32, RecordError> {
        let value = self.f32(offset);
        if value.is_finite() && (0.0..SMALL_INTEGER_LIMIT).contains(&value) {
            Ok(value.round() as u32)
        } else {
            Err(RecordError::NotSmallInteger { value, offset })
        }
    }

    /// The number of a rung, which is sent as a float; higher numbers become 255.
    pub(crate) fn rung(self, offset: usize) -> Result<u8, RecordError> {
        Ok(self.small_integer(offset)?.min(255) as u8)
    }

    /// The values of a load report, preceded by their number.
    pub(crate) fn report_values(self, offset: usize) -> Result<Vec<f64>, RecordError> {
        let count = usize::from(self.u8(offset));
        if count > LOAD_REPORT_VALUES {
            return Err(RecordError::ReportTooLong(count));
        }
        let value = |index| f64::from(self.f32(offset + 1 + 4 * index));
        Ok((0..count).map(value).collect())
    }

    /// The slice of the batch's tail that a field refers to by an offset in bytes and a number of items, each of
    /// `item_bytes`.
    pub(crate) fn slice(
        self,
        tail: &'a [u8],
        field: usize,
        item_bytes: usize,
    ) -> Result<&'a [u8], RecordError> {
        let offset = self.u32(field) as usize;
        let count = self.u32(field + 4) as usize;
        let end = count
            .checked_mul(item_bytes)
            .and_then(|bytes| offset.checked_add(bytes));
        end.and_then(|end| tail.get(offset..end))
            .ok_or(RecordError::OutsideTail {
                offset,
                count,
                tail: tail.len(),
            })
    }
}
