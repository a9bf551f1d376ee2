package hollyslip.platform;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;

/** What all sides of the protocol share. */
final class Http {
  private Http() {}

  /** Both decoders': the codec's own bounds stand behind {@link HeadCheck}. */
  static HttpDecoderConfig strict() {
    return new HttpDecoderConfig().setMaxInitialLineLength(HeadCheck.MOST)
        .setMaxHeaderSize(HeadCheck.MOST)
        .setStrictLineParsing(true)
        .setAllowDuplicateContentLengths(false);
  }

  /** Refuses a length beside a transfer coding: readers differ in which they follow. */
  static void refuseBoth() {
    throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
  }

  /** Reads what has come on a connection without waiting for the loop's next turn; its handlers hear of bytes
   * before this returns, of its end only later: {@link Channel#isActive} tells of that at once. Not to be
   * called from within a read of the same connection. */
  static void readNow(Channel channel) {
    if (channel.isActive()) {
      ((AbstractNioChannel) channel).unsafe().read();
    }
  }

  /** A head's bytes; what came as bytes above 127 goes as it came. */
  static ByteBuf bytes(String text) {
    return Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** For the header Host. */
  static String authority(InetSocketAddress a) {
    return a.getAddress().getHostAddress() + ":" + a.getPort();
  }
}
