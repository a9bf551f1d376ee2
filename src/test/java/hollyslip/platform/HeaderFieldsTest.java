package hollyslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import org.junit.jupiter.api.Test;

/** Header fields of a few bytes take over a hundred of memory: their number is limited, and what a response
 * keeps of them counts. */
class HeaderFieldsTest {
  private static String fields(int count) {
    return "a:\r\n".repeat(count);
  }

  private static void decode(EmbeddedChannel channel, String startLine, int fields) {
    channel.writeInbound(HttpSupport.latin1Bytes(startLine + "\r\n" + fields(fields) + "\r\n"));
  }

  @Test
  void aRequestWithTooManyHeaderFieldsIsRejected() {
    decode(new EmbeddedChannel(new RequestDecoder()), "GET / HTTP/1.1", HttpHeadValidator.MAX_FIELDS);
    EmbeddedChannel channel = new EmbeddedChannel(new RequestDecoder());
    assertThrows(DecoderException.class, () -> decode(channel, "GET / HTTP/1.1", HttpHeadValidator.MAX_FIELDS
        + 1));
  }

  @Test
  void aResponseWithTooManyHeaderFieldsIsRejected() {
    decode(new EmbeddedChannel(new StrictResponseDecoder()), "HTTP/1.1 200 OK", HttpHeadValidator.MAX_FIELDS);
    EmbeddedChannel channel = new EmbeddedChannel(new StrictResponseDecoder());
    assertThrows(DecoderException.class, () -> decode(channel, "HTTP/1.1 200 OK", HttpHeadValidator.MAX_FIELDS
        + 1));
  }

  @Test
  void theMemoryOfFieldsIsMoreThanTheirTexts() {
    HttpHeaders headers = new DefaultHttpHeaders().add("a", "").add("name", "value");
    assertTrue(HttpSupport.heapBytes(headers) >= 2 * 100 + "anamevalue".length());
    assertEquals(0, HttpSupport.heapBytes(new DefaultHttpHeaders()));
  }
}
