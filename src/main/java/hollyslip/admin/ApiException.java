package hollyslip.admin;

import java.util.Map;

/** An error of the API, returned as problem details (RFC 9457): status, title, detail, the field that caused
 * it, and figures. */
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

  /** The response both for a resource that does not exist and for one that the caller may not access. */
  static ApiException notFound() {
    return new ApiException(404, "not found", null, "no such resource", Map.of());
  }
}
