package hollyslip.platform;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.util.TokenBuffer;
import java.io.IOException;
import java.util.function.Consumer;

/** Incremental parser of a sequence of JSON objects, with any whitespace in and between them. */
final class JsonStreamParser {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final JsonFactory FACTORY = new JsonFactory();

  private final int maxObjectBytes;
  private final JsonParser parser;
  private TokenBuffer currentObject;
  private int depth, currentBytes;

  /** @param maxObjectBytes
   *          size limit of one object, whitespace included */
  JsonStreamParser(int maxObjectBytes) {
    this.maxObjectBytes = maxObjectBytes;
    try {
      parser = FACTORY.createNonBlockingByteArrayParser();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
    currentObject = new TokenBuffer(parser);
  }

  /** Whether an object has started and is incomplete. */
  boolean insideObject() {
    return depth > 0;
  }

  /** Parses more bytes and passes on each object that they complete. Must not be called again after an
   * exception.
   *
   * @throws IOException
   *           if the input is not a sequence of objects, or an object is too long */
  void feed(byte[] input, Consumer<JsonNode> listener) throws IOException {
    if (input.length == 0) {
      return;
    }
    currentBytes += input.length;
    ((ByteArrayFeeder) parser.getNonBlockingInputFeeder()).feedInput(input, 0, input.length);
    for (JsonToken token = parser.nextToken(); token != JsonToken.NOT_AVAILABLE; token = parser.nextToken()) {
      if (depth == 0 && token != JsonToken.START_OBJECT) {
        throw new IOException("expected a JSON object, got " + token);
      }
      currentObject.copyCurrentEvent(parser);
      depth += token.isStructStart() ? 1 : token.isStructEnd() ? -1 : 0;
      if (depth == 0) {
        JsonNode object = MAPPER.readTree(currentObject.asParser());
        currentObject = new TokenBuffer(parser);
        currentBytes = 0;
        listener.accept(object);
      }
    }
    if (depth == 0) {
      currentBytes = 0;
    } else if (currentBytes > maxObjectBytes) {
      throw new IOException("JSON object exceeds " + maxObjectBytes + " bytes");
    }
  }
}
