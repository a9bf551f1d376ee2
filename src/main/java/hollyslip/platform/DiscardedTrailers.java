package hollyslip.platform;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;

/** The trailer fields of a chunked message, none of which is kept: the protocol gives them no meaning, and an
 * object for each field would take many times its bytes until the message ends. */
final class DiscardedTrailers extends DefaultHttpHeaders {
  /** Creates one for each message. */
  static final HttpHeadersFactory FACTORY = new HttpHeadersFactory() {
    @Override
    public HttpHeaders newHeaders() {
      return new DiscardedTrailers();
    }

    @Override
    public HttpHeaders newEmptyHeaders() {
      return EmptyHttpHeaders.INSTANCE;
    }
  };

  @Override
  public HttpHeaders add(String name, Object value) {
    return this;
  }

  @Override
  public HttpHeaders add(CharSequence name, Object value) {
    return this;
  }

  @Override
  public HttpHeaders add(String name, Iterable<?> values) {
    return this;
  }

  @Override
  public HttpHeaders add(CharSequence name, Iterable<?> values) {
    return this;
  }
}
