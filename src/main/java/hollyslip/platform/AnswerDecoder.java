package hollyslip.platform;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** The codec's response decoder behind {@link HeadCheck}: an answer that is not as the standard has it ends
 * in an exception. */
final class AnswerDecoder extends HttpResponseDecoder {
  private static final byte[] START = "HTTP/1.1 ".getBytes(StandardCharsets.US_ASCII);

  private final HeadCheck check = new HeadCheck();
  private boolean atHead = true;

  AnswerDecoder() {
    super(Http.strict());
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
    if (atHead) {
      startsRight(in);
      if (!in.isReadable() || check.whole(in) < 0) {
        return;
      }
      atHead = false;
    }
    int before = out.size();
    super.decode(ctx, in, out);
    atHead = out.size() > before && out.get(out.size() - 1) instanceof LastHttpContent;
  }

  /** Noise is told at its first bytes, not when a head's end fails to come. */
  private static void startsRight(ByteBuf in) {
    for (int i = 0; i < Math.min(START.length, in.readableBytes()); i++) {
      if (in.getByte(in.readerIndex() + i) != START[i]) {
        throw new IllegalArgumentException("no status line");
      }
    }
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    Http.refuseBoth();
  }

  /** Bytes that have come and belong to no answer yet. */
  int left() {
    return actualReadableBytes();
  }
}
