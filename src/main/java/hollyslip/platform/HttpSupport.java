package hollyslip.platform;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;

/** HTTP utilities shared by the client, disk server and discovery sides. */
final class HttpSupport {
  /** Memory of one header field beside its texts, bytes. */
  private static final int FIELD_BYTES = 128;

  private HttpSupport() {}

  /** Configuration of the request and the response decoder: the codec's own limits back up
   * {@link HttpHeadValidator}. */
  static HttpDecoderConfig strictDecoderConfig() {
    return new HttpDecoderConfig().setMaxInitialLineLength(HttpHeadValidator.MAX_HEAD_BYTES)
        .setMaxHeaderSize(HttpHeadValidator.MAX_HEAD_BYTES)
        .setStrictLineParsing(true)
        .setTrailersFactory(DiscardedTrailers.FACTORY)
        .setAllowDuplicateContentLengths(false);
  }

  /** Rejects a message with both headers, as parsers differ in which of them they follow. */
  static void rejectLengthWithTransferEncoding() {
    throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
  }

  /** Reads pending input of a connection without waiting for the next event loop iteration. Handlers are
   * called with the bytes before this returns, but are notified of the connection's end only later;
   * {@link Channel#isActive} reflects it at once. Must not be called from within a read of the same
   * connection. */
  static void readPending(Channel channel) {
    if (channel.isActive()) {
      ((AbstractNioChannel) channel).unsafe().read();
    }
  }

  /** Encodes a message head as ISO-8859-1, so that bytes above 127 are forwarded as received. */
  static ByteBuf latin1Bytes(String text) {
    return Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Encodes the head of a response to a client.
   *
   * @param retryAfterUs
   *          delay to advise in Retry-After, us; 0: no advice
   * @param close
   *          whether the connection is closed after the response */
  static ByteBuf responseHead(HttpResponseStatus status, int length, long retryAfterUs, boolean close) {
    StringBuilder head = new StringBuilder(96).append("HTTP/1.1 ")
        .append(status.code())
        .append(' ')
        .append(status.reasonPhrase())
        .append("\r\nContent-Length: ")
        .append(length)
        .append("\r\n");
    if (retryAfterUs > 0) {
      head.append("Retry-After: ")
          .append(String.format(Locale.ROOT, "%.3f", Math.max(0.001, retryAfterUs / 1e6)))
          .append("\r\n");
    }
    if (close) {
      head.append("Connection: close\r\n");
    }
    return latin1Bytes(head.append("\r\n").toString());
  }

  /** Memory that header fields take, bytes: their texts and the objects that hold them. */
  static int heapBytes(HttpHeaders headers) {
    int bytes = 0;
    for (Map.Entry<String, String> field : headers) {
      bytes += FIELD_BYTES + field.getKey().length() + field.getValue().length();
    }
    return bytes;
  }

  /** Value of the Host header for an address. */
  static String authority(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }
}
