package hollyslip.platform;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Netty's response decoder behind {@link HttpHeadValidator}: a response that violates the HTTP standard ends
 * in an exception. */
final class StrictResponseDecoder extends HttpResponseDecoder {
  private static final byte[] STATUS_LINE_START = "HTTP/1.1 ".getBytes(StandardCharsets.US_ASCII);

  private final HttpHeadValidator headValidator = new HttpHeadValidator();
  private boolean awaitingHead = true;

  StrictResponseDecoder() {
    super(HttpSupport.strictDecoderConfig());
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
    try {
      super.channelRead(ctx, message);
    } finally {
      ReceiveBuffers.trim(internalBuffer());
    }
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
    if (awaitingHead) {
      checkStatusLineStart(in);
      if (!in.isReadable() || headValidator.completeHeadLength(in) < 0) {
        return;
      }
      awaitingHead = false;
    }
    int decodedBefore = out.size();
    super.decode(ctx, in, out);
    awaitingHead = out.size() > decodedBefore && out.get(out.size() - 1) instanceof LastHttpContent;
  }

  /** Rejects other protocols at their first bytes, instead of waiting for the end of a head. */
  private static void checkStatusLineStart(ByteBuf in) {
    for (int i = 0; i < Math.min(STATUS_LINE_START.length, in.readableBytes()); i++) {
      if (in.getByte(in.readerIndex() + i) != STATUS_LINE_START[i]) {
        throw new IllegalArgumentException("response does not start with an HTTP/1.1 status line");
      }
    }
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    HttpSupport.rejectLengthWithTransferEncoding();
  }

  /** Number of bytes received that do not belong to a decoded response. */
  int unreadBytes() {
    return actualReadableBytes();
  }
}
