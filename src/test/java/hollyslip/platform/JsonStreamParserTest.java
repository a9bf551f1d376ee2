package hollyslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class JsonStreamParserTest {
  private static final String ALL = "\n {\"a\" : \"x}{\\\"é\",\r\n\t\"b\": [1, {\"c\": null}]\n}\n\n\n{}{\"d\":-1.5e3}  \n";

  private final List<String> got = new ArrayList<>();

  private void feed(JsonStreamParser s, byte[] bytes) throws IOException {
    s.feed(bytes, o -> got.add(o.toString()));
  }

  /** However it comes in pieces, single bytes included. */
  @Test
  void objectsAreFoundInAnyPieces() throws Exception {
    byte[] all = ALL.getBytes(StandardCharsets.UTF_8);
    List<String> want = List.of("{\"a\":\"x}{\\\"é\",\"b\":[1,{\"c\":null}]}", "{}", "{\"d\":-1500.0}");
    for (int length : IntStream.rangeClosed(1, all.length).toArray()) {
      got.clear();
      JsonStreamParser s = new JsonStreamParser(1000);
      for (int at = 0; at < all.length; at += length) {
        feed(s, Arrays.copyOfRange(all, at, Math.min(all.length, at + length)));
      }
      assertEquals(want, got, "pieces of " + length);
      assertFalse(s.insideObject());
    }
  }

  @Test
  void itKnowsWhetherAnObjectHasBegun() throws Exception {
    JsonStreamParser s = new JsonStreamParser(1000);
    feed(s, "\n".getBytes(StandardCharsets.UTF_8));
    assertFalse(s.insideObject());
    feed(s, "{\"a\":".getBytes(StandardCharsets.UTF_8));
    assertTrue(s.insideObject());
  }

  @ParameterizedTest
  @ValueSource(strings = {"[1]", "no ", "7 ", "\"text\"", "{\"a\":}", "{\"a\" \"b\"}", "}", "{\"a\":1]"})
  void whatIsNoObjectIsAFault(String text) {
    assertThrows(IOException.class, () -> feed(new JsonStreamParser(1000), text.getBytes(StandardCharsets.UTF_8)));
  }

  /** Memory is bounded, for one long text and for many short ones, and not by what came before. */
  @Test
  void anObjectHasABoundAndTheStreamHasNone() throws Exception {
    JsonStreamParser s = new JsonStreamParser(1000);
    for (int i = 0; i < 10_000; i++) {
      feed(s, "{\"a\":[1,2,3]}\n\n".getBytes(StandardCharsets.UTF_8));
    }
    assertEquals(10_000, got.size());
    feed(s, "{\"a\":\"".getBytes(StandardCharsets.UTF_8));
    assertThrows(IOException.class, () -> {
      for (int i = 0; i < 1000; i++) {
        feed(s, "xx".getBytes(StandardCharsets.UTF_8));
      }
    });
    JsonStreamParser other = new JsonStreamParser(1000);
    assertThrows(IOException.class, () -> {
      feed(other, "{\"a\":[".getBytes(StandardCharsets.UTF_8));
      for (int i = 0; i < 1000; i++) {
        feed(other, "1,".getBytes(StandardCharsets.UTF_8));
      }
    });
  }
}
