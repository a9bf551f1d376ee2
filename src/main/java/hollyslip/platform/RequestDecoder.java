package hollyslip.platform;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/** Decodes requests with the codec's decoder after {@link HttpHeadValidator} has validated each head. An
 * invalid head, or a head with both a length and a transfer coding, causes an exception, after which nothing
 * more is read from the connection. */
final class RequestDecoder extends HttpRequestDecoder {
  private final HttpHeadValidator headValidator = new HttpHeadValidator();
  private boolean awaitingHead = true;

  RequestDecoder() {
    super(HttpSupport.strictDecoderConfig());
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
    if (awaitingHead) {
      if (!in.isReadable()) {
        return;
      }
      int length = headValidator.completeHeadLength(in);
      if (length < 0) {
        return;
      }
      if (!HttpHeadValidator.isTokenChar(in.getByte(in.readerIndex()))) {
        throw new IllegalArgumentException("request line does not start with a method");
      }
      awaitingHead = false;
    }
    int decodedBefore = out.size();
    super.decode(ctx, in, out);
    awaitingHead = out.size() > decodedBefore && out.get(out.size() - 1) instanceof LastHttpContent;
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    HttpSupport.rejectLengthWithTransferEncoding();
  }

  /** Whether a request has arrived in part but not completely. */
  boolean hasPartialRequest() {
    return !awaitingHead || actualReadableBytes() > 0;
  }
}
