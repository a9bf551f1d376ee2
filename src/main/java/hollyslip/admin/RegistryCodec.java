package hollyslip.admin;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import hollyslip.tenant.ChangeSet;
import hollyslip.tenant.Registry;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Records and snapshots as bytes: CBOR with names of fields, so that a later form may add some. A record of
 * a version that is not known is refused whole by {@link ChangeSet}. */
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
