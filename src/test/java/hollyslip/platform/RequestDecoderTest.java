package hollyslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

/** The decoder's word on whether a request is under way. */
class RequestDecoderTest {
  /** Connections within a request are not idle, however slow it comes. */
  @Test
  void itIsWithinARequestFromItsFirstByteToItsLast() {
    RequestDecoder decoder = new RequestDecoder();
    EmbeddedChannel channel = new EmbeddedChannel(decoder);
    String request = Site.write("put", "t1", "k", "0123456789");
    for (int round = 0; round < 2; round++) {
      assertEquals(false, decoder.within());
      for (int i = 0; i < request.length(); i++) {
        channel.writeInbound(Http.bytes(request.substring(i, i + 1)));
        assertEquals(i < request.length() - 1, decoder.within(), "after byte " + i);
      }
    }
    channel.writeInbound(Http.bytes(Site.read("t2") + "G"));
    assertEquals(true, decoder.within());
    channel.finishAndReleaseAll();
  }
}
