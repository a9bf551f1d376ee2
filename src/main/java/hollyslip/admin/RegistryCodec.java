package hollyslip.admin;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import hollyslip.tenant.ChangeSet;
import hollyslip.tenant.Registry;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Encodes change sets and registry snapshots as CBOR with field names, so that later versions may add
 * fields. {@link ChangeSet} rejects records of an unknown format version. */
final class RegistryCodec {
  private static final ObjectMapper CBOR = new CBORMapper().configure(
      DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

  private RegistryCodec() {}

  static byte[] encode(Object value) {
    try {
      return CBOR.writeValueAsBytes(value);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  static ChangeSet decodeChangeSet(byte[] record) throws IOException {
    return CBOR.readValue(record, ChangeSet.class);
  }

  static Registry.Snapshot decodeSnapshot(byte[] state) throws IOException {
    return CBOR.readValue(state, Registry.Snapshot.class);
  }
}
