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
  private boolean awaitingHead = true, stopped;

  RequestDecoder() {
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
    if (stopped) {
      in.skipBytes(in.readableBytes());
      return;
    }
    if (awaitingHead) {
      if (!in.isReadable()) {
        return;
      }
      if (!hasCompleteHead(in)) {
        return;
      }
      awaitingHead = false;
    }
    int decodedBefore = out.size();
    super.decode(ctx, in, out);
    awaitingHead = out.size() > decodedBefore && out.get(out.size() - 1) instanceof LastHttpContent;
  }

  /** Whether a whole and valid head has arrived. The bytes of an invalid one are dropped, as they would be
   * kept until the connection closes. */
  private boolean hasCompleteHead(ByteBuf in) {
    try {
      if (headValidator.completeHeadLength(in) < 0) {
        return false;
      }
      if (!HttpHeadValidator.isTokenChar(in.getByte(in.readerIndex()))) {
        throw new IllegalArgumentException("request line does not start with a method");
      }
      return true;
    } catch (IllegalArgumentException invalid) {
      in.skipBytes(in.readableBytes());
      throw invalid;
    }
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    HttpSupport.rejectLengthWithTransferEncoding();
  }

  /** Decodes nothing more: all further input is dropped, also that of the read in progress. */
  void stop() {
    stopped = true;
  }

  /** Whether a request has arrived in part but not completely. */
  boolean hasPartialRequest() {
    return !awaitingHead || actualReadableBytes() > 0;
  }
}
