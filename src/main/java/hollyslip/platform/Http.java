package hollyslip.platform;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

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

  /** The head of an answer to a client.
   *
   * @param retryInUs
   *          0: no advice
   * @param last
   *          the connection ends after it */
  static ByteBuf answerHead(HttpResponseStatus status, int length, long retryInUs, boolean last) {
    StringBuilder head = new StringBuilder(96).append("HTTP/1.1 ")
        .append(status.code())
        .append(' ')
        .append(status.reasonPhrase())
        .append("\r\nContent-Length: ")
        .append(length)
        .append("\r\n");
    if (retryInUs > 0) {
      head.append("Retry-After: ")
          .append(String.format(Locale.ROOT, "%.3f", Math.max(0.001, retryInUs / 1e6)))
          .append("\r\n");
    }
    if (last) {
      head.append("Connection: close\r\n");
    }
    return bytes(head.append("\r\n").toString());
  }

  /** For the header Host. */
  static String authority(InetSocketAddress a) {
    return a.getAddress().getHostAddress() + ":" + a.getPort();
  }
}
