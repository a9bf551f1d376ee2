package hollyslip.admin;

import java.util.Map;

/** An error as the API answers it (RFC 9457, problem details): status, a title, what is wrong, the field that
 * it is about, and figures. */
final class ApiException extends RuntimeException {
  private static final long serialVersionUID = 1;

  final int status;
  final String title;
  final String field;
  final transient Map<String, Object> figures;

  ApiException(int status, String title, String field, String detail, Map<String, Object> figures) {
    super(detail, null, false, false);
    this.status = status;
    this.title = title;
    this.field = field;
    this.figures = figures;
  }

  static ApiException invalid(String field, String detail) {
    return new ApiException(400, "invalid", field, detail, Map.of());
  }

  /** The same for what is not there and what is not the caller's. */
  static ApiException notFound() {
    return new ApiException(404, "not found", null, "there is nothing of this name here", Map.of());
  }
}
