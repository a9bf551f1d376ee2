package hollyslip.admin;

import hollyslip.tenant.Change;
import hollyslip.tenant.Registry;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.util.HexFormat;

/** A caller authenticated by a bearer token (RFC 6750). Tokens have the form {@code id.secret}; the secret
 * has 256 random bits, and only its SHA-256 is stored. A slow password hash would add nothing, since the
 * secrets cannot be guessed.
 *
 * @param id
 *          id of the token
 * @param who
 *          name of the caller
 * @param tenant
 *          the only tenant that the caller may access; 0: an operator, who may access all */
record AuthenticatedCaller(String id, String who, long tenant) {
  private static final SecureRandom RANDOM = new SecureRandom();

  /** A new token and the form of it that is stored. */
  record IssuedToken(String token, Change.Token storedToken) {}

  boolean isOperator() {
    return tenant == 0;
  }

  static IssuedToken issueToken(String who, long tenant) {
    byte[] id = new byte[6];
    byte[] secret = new byte[32];
    RANDOM.nextBytes(id);
    RANDOM.nextBytes(secret);
    String idHex = HexFormat.of().formatHex(id);
    String secretHex = HexFormat.of().formatHex(secret);
    return new IssuedToken(idHex + "." + secretHex, new Change.Token(idHex, sha256Hex(secretHex), tenant,
        who));
  }

  static String sha256Hex(String text) {
    try {
      return HexFormat.of()
          .formatHex(MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Authenticates the caller by an Authorization header; returns null if the token is not valid. */
  static AuthenticatedCaller authenticate(Registry registry, String header) {
    if (header == null || !header.startsWith("Bearer ")) {
      return null;
    }
    String token = header.substring(7).trim();
    int dot = token.indexOf('.');
    Change.Token stored = dot < 0 ? null : registry.token(token.substring(0, dot));
    // Compare even if there is no such token, so that the response time does not reveal it.
    String expected = stored == null ? sha256Hex("") : stored.hash();
    boolean matches = MessageDigest.isEqual(expected.getBytes(StandardCharsets.US_ASCII), sha256Hex(token
        .substring(dot + 1)).getBytes(StandardCharsets.US_ASCII));
    return stored != null && matches
        ? new AuthenticatedCaller(stored.id(), stored.who(), stored.tenant())
        : null;
  }
}
