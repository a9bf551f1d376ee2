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

  private final List<String> received = new ArrayList<>();

  private void feed(JsonStreamParser parser, byte[] bytes) throws IOException {
    parser.feed(bytes, o -> received.add(o.toString()));
  }

  /** Splits the input at every length, down to single bytes. */
  @Test
  void objectsAreParsedFromInputInPiecesOfAnyLength() throws Exception {
    byte[] all = ALL.getBytes(StandardCharsets.UTF_8);
    List<String> expected = List.of("{\"a\":\"x}{\\\"é\",\"b\":[1,{\"c\":null}]}", "{}", "{\"d\":-1500.0}");
    for (int length : IntStream.rangeClosed(1, all.length).toArray()) {
      received.clear();
      JsonStreamParser parser = new JsonStreamParser(1000);
      for (int at = 0; at < all.length; at += length) {
        feed(parser, Arrays.copyOfRange(all, at, Math.min(all.length, at + length)));
      }
      assertEquals(expected, received, "pieces of " + length);
      assertFalse(parser.insideObject());
    }
  }

  @Test
  void insideObjectTellsWhetherAnObjectHasStarted() throws Exception {
    JsonStreamParser parser = new JsonStreamParser(1000);
    feed(parser, "\n".getBytes(StandardCharsets.UTF_8));
    assertFalse(parser.insideObject());
    feed(parser, "{\"a\":".getBytes(StandardCharsets.UTF_8));
    assertTrue(parser.insideObject());
  }

  @ParameterizedTest
  @ValueSource(strings = {"[1]", "no ", "7 ", "\"text\"", "{\"a\":}", "{\"a\" \"b\"}", "}", "{\"a\":1]"})
  void inputOtherThanObjectsIsRejected(String text) {
    assertThrows(IOException.class, () -> feed(new JsonStreamParser(1000), text.getBytes(
        StandardCharsets.UTF_8)));
  }

  /** The size limit holds for one long string and for many short values, and starts anew with each object. */
  @Test
  void sizeOfAnObjectIsLimitedAndThatOfTheStreamIsNot() throws Exception {
    JsonStreamParser parser = new JsonStreamParser(1000);
    for (int i = 0; i < 10_000; i++) {
      feed(parser, "{\"a\":[1,2,3]}\n\n".getBytes(StandardCharsets.UTF_8));
    }
    assertEquals(10_000, received.size());
    feed(parser, "{\"a\":\"".getBytes(StandardCharsets.UTF_8));
    assertThrows(IOException.class, () -> {
      for (int i = 0; i < 1000; i++) {
        feed(parser, "xx".getBytes(StandardCharsets.UTF_8));
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
