package hollyslip.admin;

import hollyslip.tenant.Change;
import hollyslip.tenant.Registry;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.util.HexFormat;

/** Bearer tokens (RFC 6750): {@code id.secret}, the secret 256 random bits, of which the store has the
 * SHA-256 alone. A hash made slow is for secrets that people choose; these cannot be guessed.
 *
 * @param id
 *          of the token
 * @param who
 *          whose it is
 * @param tenant
 *          the one tenant that it opens; 0: an operator's, which opens all */
record AuthenticatedCaller(String id, String who, long tenant) {
  private static final SecureRandom RANDOM = new SecureRandom();

  /** A new token and what is recorded of it. */
  record IssuedToken(String token, Change.Token recorded) {}

  boolean isOperator() {
    return tenant == 0;
  }

  static IssuedToken issueToken(String who, long tenant) {
    byte[] id = new byte[6];
    byte[] secret = new byte[32];
    RANDOM.nextBytes(id);
    RANDOM.nextBytes(secret);
    String name = HexFormat.of().formatHex(id);
    String word = HexFormat.of().formatHex(secret);
    return new IssuedToken(name + "." + word, new Change.Token(name, sha256Hex(word), tenant, who));
  }

  static String sha256Hex(String text) {
    try {
      return HexFormat.of()
          .formatHex(MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Who comes with an Authorization header; null: nobody known. */
  static AuthenticatedCaller authenticate(Registry r, String header) {
    if (header == null || !header.startsWith("Bearer ")) {
      return null;
    }
    String token = header.substring(7).trim();
    int dot = token.indexOf('.');
    Change.Token known = dot < 0 ? null : r.token(token.substring(0, dot));
    // Compared even where there is no such token, so that the time does not tell.
    String expected = known == null ? sha256Hex("") : known.hash();
    boolean same = MessageDigest.isEqual(expected.getBytes(StandardCharsets.US_ASCII), sha256Hex(token
        .substring(dot + 1)).getBytes(StandardCharsets.US_ASCII));
    return known != null && same ? new AuthenticatedCaller(known.id(), known.who(), known.tenant()) : null;
  }
}
