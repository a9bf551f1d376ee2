package hollyslip.platform;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/** The codec's request decoder behind {@link HeadCheck}. A head that is refused there, and a length beside a
 * transfer coding, end in an exception; nothing of the connection is read after it. */
final class RequestDecoder extends HttpRequestDecoder {
  private final HeadCheck check = new HeadCheck();
  private boolean atHead = true;

  RequestDecoder() {
    super(Http.strict());
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
    if (atHead) {
      if (!in.isReadable()) {
        return;
      }
      int length = check.whole(in);
      if (length < 0) {
        return;
      }
      if (!HeadCheck.token(in.getByte(in.readerIndex()))) {
        throw new IllegalArgumentException("no request line");
      }
      atHead = false;
    }
    int before = out.size();
    super.decode(ctx, in, out);
    atHead = out.size() > before && out.get(out.size() - 1) instanceof LastHttpContent;
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    Http.refuseBoth();
  }

  /** Whether part of a request has come and not all of it. */
  boolean within() {
    return !atHead || actualReadableBytes() > 0;
  }
}
