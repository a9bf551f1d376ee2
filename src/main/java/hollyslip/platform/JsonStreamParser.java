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

/** A sequence of JSON objects out of bytes that come in pieces, whatever blanks lie in and between them. */
final class JsonStreamParser {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final JsonFactory FACTORY = new JsonFactory();

  private final int maxObjectBytes;
  private final JsonParser parser;
  private TokenBuffer currentObject;
  private int depth, currentBytes;

  /** @param most
   *          bytes that one object may take, blanks included */
  JsonStreamParser(int most) {
    this.maxObjectBytes = most;
    try {
      parser = FACTORY.createNonBlockingByteArrayParser();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
    currentObject = new TokenBuffer(parser);
  }

  /** Whether an object has begun and has not ended. */
  boolean insideObject() {
    return depth > 0;
  }

  /** Takes some bytes more and hands over each object that is whole now. Nothing may follow an exception.
   *
   * @throws IOException
   *           if this is no sequence of objects, or one is too long */
  void feed(byte[] part, Consumer<JsonNode> objects) throws IOException {
    if (part.length == 0) {
      return;
    }
    currentBytes += part.length;
    ((ByteArrayFeeder) parser.getNonBlockingInputFeeder()).feedInput(part, 0, part.length);
    for (JsonToken t = parser.nextToken(); t != JsonToken.NOT_AVAILABLE; t = parser.nextToken()) {
      if (depth == 0 && t != JsonToken.START_OBJECT) {
        throw new IOException("no object: " + t);
      }
      currentObject.copyCurrentEvent(parser);
      depth += t.isStructStart() ? 1 : t.isStructEnd() ? -1 : 0;
      if (depth == 0) {
        JsonNode whole = MAPPER.readTree(currentObject.asParser());
        currentObject = new TokenBuffer(parser);
        currentBytes = 0;
        objects.accept(whole);
      }
    }
    if (depth == 0) {
      currentBytes = 0;
    } else if (currentBytes > maxObjectBytes) {
      throw new IOException("an object of over " + maxObjectBytes + " bytes");
    }
  }
}
