# Build, checks and measurements. See README.md for the usual commands.

BUILD ?= build
CC ?= cc
CXX ?= c++
PROTOC_C ?= protoc-c
# SAN=1 builds with the address and undefined-behaviour sanitizers.
SAN ?= 0
# TEST_HOOKS=0 leaves out the hooks that tests use to drop messages.
TEST_HOOKS ?= 1
PREFIX ?= /usr/local
DESTDIR ?=

WARN := -Wall -Wextra -Wshadow -Wstrict-prototypes -Wmissing-prototypes \
	-Wpointer-arith -Wno-unused-parameter
OPT ?= -O2
COMMON := -g $(OPT) -Isrc -I. -D_GNU_SOURCE -DH2O_USE_LIBUV=1 -MMD -MP
ifeq ($(TEST_HOOKS),1)
COMMON += -DTM_TEST_HOOKS
endif
CFLAGS_ALL := -std=gnu11 $(WARN) $(COMMON) $(CFLAGS)
CXXFLAGS_ALL := -std=gnu++17 -Wall -Wextra -Wno-unused-parameter \
	-Wno-missing-field-initializers $(COMMON) $(CXXFLAGS)
LDLIBS := -lh2o -luv -lssl -lcrypto -lprotobuf-c -ljansson -largtable2 \
	-lxxhash -lz -lm -lpthread
ifeq ($(SAN),1)
SANFLAGS := -O1 -fsanitize=address,undefined -fno-omit-frame-pointer
BUILD := build/san
CFLAGS_ALL += $(SANFLAGS)
CXXFLAGS_ALL += $(SANFLAGS)
LDFLAGS += $(SANFLAGS)
endif

# A program is a folder with a *_main.c; every other folder is library code.
PROGRAMS := entry control gate hub ctl target load
BIN_entry := tm-entry
BIN_control := tm-control
BIN_gate := tm-gate
BIN_hub := tm-hub
BIN_ctl := tmctl
BIN_target := tm-target
BIN_load := tm-load

MAINS := $(wildcard src/*/*_main.c)
LIB_SRCS := $(filter-out $(MAINS),$(wildcard src/*/*.c)) \
	$(wildcard platform/*.c)
LIB_OBJS := $(LIB_SRCS:%.c=$(BUILD)/%.o)
LIB := $(BUILD)/libtarragonmoor.a
BINS := $(foreach p,$(PROGRAMS),$(if $(wildcard src/$(p)/$(p)_main.c),\
	$(BUILD)/bin/$(BIN_$(p))))

TEST_SRCS := $(wildcard test/unit/*.cc) $(wildcard test/scenario/*.cc)
TEST_C_SRCS := $(wildcard test/scenario/*.c)
TEST_OBJS := $(TEST_SRCS:%.cc=$(BUILD)/%.o) $(TEST_C_SRCS:%.c=$(BUILD)/%.o)
TEST_BIN := $(BUILD)/bin/tm-unit

# Fuzz targets with a driver that needs no libFuzzer.
FUZZ_SRCS := $(filter-out test/fuzz/fuzz_driver.c,\
	$(wildcard test/fuzz/fuzz_*.c))
FUZZ_BINS := $(FUZZ_SRCS:test/fuzz/%.c=$(BUILD)/bin/%)
FUZZ_OBJS := $(FUZZ_SRCS:%.c=$(BUILD)/%.o) $(BUILD)/test/fuzz/fuzz_driver.o

FORMAT_SRCS := $(filter-out %.pb-c.c %.pb-c.h,\
	$(wildcard src/*/*.c src/*/*.h platform/*.[ch] test/*/*.c test/*/*.h test/*/*.cc))
LINT_SRCS := $(filter-out %.pb-c.c,$(wildcard src/*/*.c platform/*.c))

.PHONY: all deps proto check unit functional fuzz fuzz-bins valgrind format format-check lint demo \
	bench prove install install-files clean

all: $(BINS)

deps:
	@scripts/install-deps.sh

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS_ALL) -c -o $@ $<

$(BUILD)/%.o: %.cc
	@mkdir -p $(@D)
	$(CXX) $(CXXFLAGS_ALL) -c -o $@ $<

$(LIB): $(LIB_OBJS)
	@rm -f $@
	ar rcs $@ $(LIB_OBJS)

define program_rule
$(BUILD)/bin/$(BIN_$(1)): $(BUILD)/src/$(1)/$(1)_main.o $(LIB)
	@mkdir -p $$(@D)
	$(CC) $(LDFLAGS) -o $$@ $$< $(LIB) $(LDLIBS)
endef
$(foreach p,$(PROGRAMS),$(eval $(call program_rule,$(p))))

$(TEST_BIN): $(TEST_OBJS) $(LIB)
	@mkdir -p $(@D)
	$(CXX) $(LDFLAGS) -o $@ $(TEST_OBJS) $(LIB) -lgtest -lgtest_main \
		$(LDLIBS)

$(BUILD)/bin/fuzz_%: $(BUILD)/test/fuzz/fuzz_%.o \
		$(BUILD)/test/fuzz/fuzz_driver.o $(LIB)
	@mkdir -p $(@D)
	$(CC) $(LDFLAGS) -o $@ $(filter %.o,$^) $(LIB) $(LDLIBS)

fuzz-bins: $(FUZZ_BINS)

# Generated codecs are committed; run this after editing a .proto file.
proto:
	cd src/proto && $(PROTOC_C) --c_out=. *.proto

format:
	clang-format -i $(FORMAT_SRCS)

format-check:
	clang-format --dry-run -Werror $(FORMAT_SRCS)

LINT_STAMPS := $(LINT_SRCS:%.c=$(BUILD)/lint/%.ok)
$(BUILD)/lint/%.ok: %.c .clang-tidy
	@mkdir -p $(@D)
	@clang-tidy --quiet $< -- -std=gnu11 -Isrc -I. -D_GNU_SOURCE \
		-DH2O_USE_LIBUV=1 >$(@:.ok=.log) 2>&1 || \
		{ cat $(@:.ok=.log); exit 1; }
	@touch $@

lint: $(LINT_STAMPS)
	cppcheck --quiet --error-exitcode=1 --std=c11 -Isrc -I. \
		--enable=warning,portability --inline-suppr \
		--include=scripts/cppcheck_macros.h \
		--suppress=missingIncludeSystem --suppress=*:*.pb-c.h \
		-j 4 $(LINT_SRCS)

unit: $(TEST_BIN)
	scripts/run-unit.sh $(TEST_BIN) $(BUILD)

functional: all
	scripts/run-functional.sh $(BUILD)

# Longer runs than in check, with a seed that is printed. FUZZ_S is the time
# for each target with libFuzzer, if clang has it.
FUZZ_RUNS ?= 200000
FUZZ_S ?= 60
FUZZ_SEED ?= $(shell date +%s)
fuzz: deps
	@$(MAKE) -s -j4 SAN=1 fuzz-bins
	scripts/run-fuzz.sh build/san $(FUZZ_RUNS) $(FUZZ_SEED)
	scripts/run-libfuzzer.sh build/fuzz $(FUZZ_S) $(FUZZ_SEED)

# A short selection; valgrind runs it some 30 times slower.
valgrind: deps $(TEST_BIN)
	scripts/run-valgrind.sh $(TEST_BIN)

check: deps
	@scripts/check.sh $(BUILD)

demo: deps
	@$(MAKE) -s -j8 all
	@scripts/demo.sh $(BUILD)

bench: deps
	@$(MAKE) -s -j8 all $(TEST_BIN)
	@scripts/bench.sh $(BUILD)

prove: deps
	@$(MAKE) -s -j8 all $(TEST_BIN)
	@scripts/prove.sh $(BUILD)

# Installed programs are built without the test hooks.
install:
	$(MAKE) TEST_HOOKS=0 BUILD=build/release all
	$(MAKE) TEST_HOOKS=0 BUILD=build/release install-files

INSTALL_DIR := $(DESTDIR)$(PREFIX)
DOC_DIR := $(INSTALL_DIR)/share/doc/tarragonmoor
UNIT_DIR ?= $(INSTALL_DIR)/lib/systemd/system

install-files: all
	install -d $(INSTALL_DIR)/bin $(INSTALL_DIR)/share/man/man1 \
		$(DOC_DIR)/examples $(DOC_DIR)/design $(UNIT_DIR)
	install -m 0755 $(BINS) $(INSTALL_DIR)/bin
	install -m 0644 man/*.1 $(INSTALL_DIR)/share/man/man1
	install -m 0644 README.md CONTRIBUTING.md docs/*.md $(DOC_DIR)
	sed -i 's|](docs/|](|g' $(DOC_DIR)/README.md $(DOC_DIR)/CONTRIBUTING.md
	install -m 0644 docs/design/*.md $(DOC_DIR)/design
	cp -r examples/. $(DOC_DIR)/examples
	chmod -R u=rwX,go=rX $(DOC_DIR)/examples
	for unit in contrib/systemd/*.service; do \
		sed 's|@bindir@|$(PREFIX)/bin|' $$unit \
			>$(UNIT_DIR)/$$(basename $$unit) || exit 1; \
		chmod 0644 $(UNIT_DIR)/$$(basename $$unit) || exit 1; \
	done

clean:
	rm -rf $(BUILD)

-include $(LIB_OBJS:.o=.d) $(TEST_OBJS:.o=.d) $(FUZZ_OBJS:.o=.d)
-include $(foreach p,$(PROGRAMS),$(BUILD)/src/$(p)/$(p)_main.d)
