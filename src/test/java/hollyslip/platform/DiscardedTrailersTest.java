package hollyslip.platform;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandler;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Trailer fields take no memory, from clients, disk servers and discovery. */
class DiscardedTrailersTest {
  private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n";

  private static void assertNoTrailerIsKept(ChannelHandler decoder, String startLine) {
    EmbeddedChannel channel = new EmbeddedChannel(decoder);
    String message = startLine + "\r\n" + CHUNKED + "a:1\r\n".repeat(100) + "b: 2\r\n\r\n";
    channel.writeInbound(Unpooled.copiedBuffer(message, StandardCharsets.ISO_8859_1));
    LastHttpContent last = null;
    for (Object part = channel.readInbound(); part != null; part = channel.readInbound()) {
      last = part instanceof LastHttpContent content ? content : last;
    }
    assertTrue(last != null && last.decoderResult().isSuccess(), "the message is whole");
    assertTrue(last.trailingHeaders().isEmpty());
    channel.finishAndReleaseAll();
  }

  @Test
  void trailersOfRequestsAreDiscarded() {
    assertNoTrailerIsKept(new RequestDecoder(), "PUT / HTTP/1.1");
  }

  @Test
  void trailersOfResponsesAreDiscarded() {
    assertNoTrailerIsKept(new StrictResponseDecoder(), "HTTP/1.1 200 OK");
  }
}
