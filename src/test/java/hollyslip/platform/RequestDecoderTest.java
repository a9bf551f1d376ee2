package hollyslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

/** Tests whether the decoder recognizes partial requests. */
class RequestDecoderTest {
  /** A connection with a partial request must not count as idle, however slowly the request arrives. */
  @Test
  void aPartialRequestIsReportedFromItsFirstByteUntilItsLast() {
    RequestDecoder decoder = new RequestDecoder();
    EmbeddedChannel channel = new EmbeddedChannel(decoder);
    String request = SchedulerFixture.writeRequest("put", "t1", "k", "0123456789");
    for (int round = 0; round < 2; round++) {
      assertEquals(false, decoder.hasPartialRequest());
      for (int i = 0; i < request.length(); i++) {
        channel.writeInbound(HttpSupport.latin1Bytes(request.substring(i, i + 1)));
        assertEquals(i < request.length() - 1, decoder.hasPartialRequest(), "after byte " + i);
      }
    }
    channel.writeInbound(HttpSupport.latin1Bytes(SchedulerFixture.readRequest("t2") + "G"));
    assertEquals(true, decoder.hasPartialRequest());
    channel.finishAndReleaseAll();
  }
}
