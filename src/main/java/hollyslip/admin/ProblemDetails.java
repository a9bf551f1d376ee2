package hollyslip.admin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import hollyslip.tenant.CommandRejectedException;
import java.util.Map;
import java.util.concurrent.CompletionException;

/** Maps errors to status codes and problem details. */
final class ProblemDetails {
  private ProblemDetails() {}

  static String title(int status) {
    return switch (status) {
      case 200 -> "OK";
      case 201 -> "created";
      case 202 -> "begun";
      case 204 -> "done";
      case 400 -> "invalid";
      case 401 -> "unauthorized";
      case 403 -> "forbidden";
      case 404 -> "not found";
      case 405 -> "method not allowed";
      case 408 -> "too slow";
      case 409 -> "conflict";
      case 412 -> "changed meanwhile";
      case 413 -> "too large";
      case 422 -> "key used before";
      case 428 -> "precondition required";
      case 503 -> "cannot be changed now";
      default -> "error";
    };
  }

  static ApiException toApiException(Throwable thrown) {
    Throwable e = thrown instanceof CompletionException && thrown.getCause() != null
        ? thrown.getCause()
        : thrown;
    if (e instanceof ApiException exception) {
      return exception;
    }
    if (e instanceof CommandRejectedException r) {
      int status = switch (r.reason()) {
        case INVALID -> 400;
        case UNKNOWN -> 400;
        case CONFLICT, NO_ROOM -> 409;
        case STALE -> 412;
        case KEY_REUSED -> 422;
      };
      return new ApiException(status, title(status), r.field(), r.getMessage(), r.figures());
    }
    if (e instanceof IllegalStateException) {
      return new ApiException(503, title(503), null, e.getMessage(), Map.of());
    }
    return new ApiException(500, title(500), null, "see the gateway's log", Map.of());
  }

  static ObjectNode toJson(ApiException exception) {
    ObjectNode node = Views.JSON.createObjectNode()
        .put("type", "about:blank")
        .put("title", exception.title)
        .put("status", exception.status)
        .put("detail", exception.getMessage());
    if (exception.field != null) {
      node.put("field", exception.field);
    }
    if (!exception.figures.isEmpty()) {
      node.set("figures", Views.JSON.valueToTree(exception.figures));
    }
    return node;
  }
}
